#pragma once

#include "net/http_server_connection.h"
#include "net/tcp_connection.h"
#include "routing/upstream_record.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace clementinegap {

/// HTTP server for the platform's readiness probes and metrics scrapes.
class probe_server final : public http_server_connection::handler {
public:
    struct response {
        int status{404};
        std::string content_type{"text/plain"};
        std::string body;
    };
    using responder = std::function<response(std::string_view path)>;

    probe_server(event_loop& loop, responder respond);
    bool listen(const endpoint& address)
    {
        return listener_.listen(address.ip, address.port, receive_buffer_bytes);
    }
    /// The number of connections; above it those that do not get on are closed.
    void set_connection_limit(std::size_t connections) { peers_.set_limit(connections); }
    std::uint16_t port() const { return listener_.port(); }
    void sweep(time_point now);

private:
    static constexpr std::size_t receive_buffer_bytes = std::size_t{4} * 1024;

    void on_request(http_server_connection& from, http_head head, std::string body) override;
    std::string error_response(int status, std::string_view text) override;
    void on_disconnected(http_server_connection&) override {}
    void on_written(http_server_connection&) override {}

    event_loop& loop_;
    responder respond_;
    peer_connections::group peers_;
    tcp_listener listener_;
    std::list<std::unique_ptr<http_server_connection>> connections_;
};

} // namespace clementinegap
