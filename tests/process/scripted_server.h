#pragma once

#include "process/raw_connection.h"

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace clementinegap {

/// A server that serves each connection as it is told, in a thread of the connection's own.
class scripted_server {
public:
    using script = std::function<void(raw_connection& connection)>;

    explicit scripted_server(script serve);
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    ~scripted_server();

    std::uint16_t port() const { return port_; }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_) + "/"; }

private:
    void accept();

    int listener_;
    script serve_;
    std::uint16_t port_{0};
    std::vector<std::jthread> connections_;
    std::thread thread_;
};

} // namespace clementinegap
