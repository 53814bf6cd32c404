#pragma once

#include "net/event_loop.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace clementinegap {

/// UDP socket over IPv4. Datagrams can be lost without notice; senders repeat important ones.
class udp_socket {
public:
    udp_socket(event_loop& loop, std::function<void(std::string_view)> on_datagram);
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    ~udp_socket();

    bool bind(const std::string& ip, std::uint16_t port);
    /// \returns false when the datagram cannot be sent at once; it is dropped then.
    bool send(const std::string& ip, std::uint16_t port, std::string_view bytes);

private:
    struct handle_block;
    handle_block* block_;
};

} // namespace clementinegap
