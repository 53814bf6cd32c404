#pragma once

#include "core/time.h"
#include "net/event_loop.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace clementinegap {

enum class close_cause : std::uint8_t {
    end_of_stream, ///< The peer closed its side in order.
    reset,         ///< The peer or the network broke the connection.
};

/// What happens on a connection. A callee may destroy the connection.
class tcp_connection_events {
public:
    tcp_connection_events() = default;
    tcp_connection_events(const tcp_connection_events&) = delete;
    tcp_connection_events& operator=(const tcp_connection_events&) = delete;
    virtual ~tcp_connection_events() = default;
    virtual void on_connected() {}
    virtual void on_bytes(std::string_view bytes) = 0;
    virtual void on_closed(close_cause cause) = 0;
    /// All that was written has been handed to the network.
    virtual void on_written() {}
};

/// How long a peer may be silent before the connection counts as broken. A connection may go silent for good
/// without a reset, which only probes show.
struct keepalive_limits {
    int probe_after_s{2};
    int probe_interval_s{1};
    int probes{2};
    int unacknowledged_timeout_ms{3000};
};

/// A TCP connection. Destroying it closes it.
class tcp_connection {
public:
    tcp_connection(event_loop& loop, tcp_connection_events& events);
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;
    ~tcp_connection();

    /// Begins to connect; `on_connected` or `on_closed` follows. False when it fails at once.
    bool connect(const std::string& ip, std::uint16_t port);
    /// Takes the next connection of a listening socket.
    bool accept(uv_stream_t* listening);
    void set_keepalive_limits(const keepalive_limits& limits);

    void write(std::string bytes);
    /// Ends the sending side once all is written; the peer is expected to close then.
    void end_writing();
    /// Bytes that the network has not taken yet.
    std::size_t unwritten() const;
    /// Stops or resumes reading, so that a slow reader on the other side slows this sender.
    void pause(bool paused);
    /// Closes now; nothing more is reported and what was not written is dropped.
    void close();
    /// Makes the close a reset, so that the peer cannot take what it has for the whole.
    void reset_on_close() { reset_on_close_ = true; }

private:
    struct handle_block;
    struct write_block;
    void start_reading();
    void report_closed(close_cause cause);
    static void on_read(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer);

    event_loop& loop_;
    tcp_connection_events& events_;
    handle_block* block_; ///< nullptr once closed.
    bool reading_{false};
    bool reset_on_close_{false};
    bool closed_reported_{false};
};

/// A listening socket.
class tcp_listener {
public:
    /// \param on_connection is to accept the connection from `native()`.
    tcp_listener(event_loop& loop, std::function<void(uv_stream_t*)> on_connection);
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    ~tcp_listener();
    /// False, with a log line, when the address cannot be had.
    bool listen(const std::string& ip, std::uint16_t port);
    /// The bound port.
    std::uint16_t port() const;

private:
    struct handle_block;
    handle_block* block_;
};

} // namespace clementinegap
