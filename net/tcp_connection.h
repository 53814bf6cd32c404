#pragma once

#include "core/time.h"
#include "net/delivery_monitor.h"
#include "net/event_loop.h"
#include "net/output_queue.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace clementinegap {

enum class close_cause : std::uint8_t {
    end_of_stream, ///< The peer closed its sending side.
    reset,         ///< The connection failed or was reset.
    refused,       ///< Nothing listens at the address.
};

/// Events of a connection. A handler may destroy the connection.
class tcp_connection_events {
public:
    tcp_connection_events() = default;
    tcp_connection_events(const tcp_connection_events&) = delete;
    tcp_connection_events& operator=(const tcp_connection_events&) = delete;
    virtual ~tcp_connection_events() = default;
    virtual void on_connected() {}
    virtual void on_bytes(std::string_view bytes) = 0;
    virtual void on_closed(close_cause cause) = 0;
    /// All written data was passed to the operating system.
    virtual void on_written() {}
};

/// How the failure of a connection without a reset is detected. Idle connections are probed by TCP
/// keep-alive.
struct keepalive_limits {
    int probe_after_s{2};
    int probe_interval_s{1};
    int probes{1};
    /// Time in which the peer has to take what was written, for a peer that is known to read at once (TCP
    /// user timeout). Without it, only peers that answer nothing or take nothing are given up
    /// (`delivery_monitor`).
    std::optional<int> unacknowledged_timeout_ms{};
};

/// A TCP connection; closed by the destructor.
class tcp_connection final : private batched_output, private delivery_watch::member {
public:
    tcp_connection(event_loop& loop, tcp_connection_events& events);
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;
    ~tcp_connection() override;

    /// Starts to connect; `on_connected` or `on_closed` follows. \returns false when it fails at once.
    bool connect(const std::string& ip, std::uint16_t port);
    /// Accepts the next connection of a listening socket.
    bool accept(uv_stream_t* listening);
    void set_keepalive_limits(const keepalive_limits& limits);
    /// Sets the size of the system's buffer for received bytes.
    void set_receive_buffer(std::size_t bytes);

    void write(std::string bytes);
    /// Shuts down the sending side once all data is written; the peer is expected to close then.
    void end_writing();
    /// Bytes queued for writing.
    std::size_t unwritten() const;
    /// Bytes that the operating system did not take. It has not been asked to yet for those that are written
    /// while a batch of input is handled.
    std::size_t backlog() const { return writing_ ? unwritten() : 0; }
    /// Whether the operating system has refused to take more.
    bool has_write_failed() const { return write_failed_; }
    /// Bytes that the peer has not acknowledged, queued ones among them.
    std::size_t undelivered() const;
    /// Bytes that the system holds of the connection, as last measured; those written since are counted.
    std::size_t held_by_system() const { return system_bytes_.size(); }
    /// Bytes that the peer has acknowledged, as last measured.
    std::uint64_t acknowledged() const { return acknowledged_; }
    /// Stops or resumes reading, which applies backpressure to the peer.
    void pause(bool paused);
    /// Closes at once; no further events are reported and unwritten data is dropped.
    void close();
    /// Makes `close` send a reset, so that the peer cannot mistake partial data for complete data.
    void reset_on_close() { reset_on_close_ = true; }
    /// From now on, the peer gets a reset if this process ends, or the connection is closed, before
    /// `end_writing` has passed all data to the operating system. Otherwise the system would end the
    /// connection in order.
    void reset_unless_ended();
    /// Undoes `reset_unless_ended`.
    void close_in_order();

private:
    struct handle_block;
    struct write_block;
    void start_reading();
    void flush() override;
    /// Passes queued bytes to the operating system without waiting. \returns what it did not take of them.
    std::string write_without_waiting();
    void start_write(std::string bytes);
    void on_write_end(int status);
    /// Shuts the sending side down, if that was asked for and nothing is queued.
    void shut_down_if_drained();
    bool check_delivery(duration elapsed) override;
    void measure() override;
    void count_unwritten();
    void count_system_bytes();
    /// Keeps the failure of the connection that a write was told of.
    void on_write_failed(int status);
    /// Reports the close, or leaves that to an outstanding write that may have been told of a reset.
    void on_end_of_input();
    void report_closed(close_cause cause);
    static void on_read(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer);

    event_loop& loop_;
    tcp_connection_events& events_;
    handle_block* block_; ///< nullptr once closed.
    byte_reservation unwritten_bytes_;
    byte_reservation system_bytes_;
    output_queue queue_;
    delivery_monitor delivery_;
    std::uint64_t written_bytes_{0}; ///< All that were passed to `write`.
    std::uint64_t acknowledged_{0};
    std::size_t unread_{0}; ///< In the system's buffer, while reading is paused.
    bool is_delivery_watched_{false};
    bool writing_{false}; ///< The system has yet to take a block of the queue.
    bool flush_pending_{false};
    bool ends_writing_{false};
    bool reading_{false};
    bool read_enough_{false}; ///< In this iteration of the loop.
    bool reset_on_close_{false};
    bool write_failed_{false};
    bool was_reset_{false};        ///< Or lost in another way.
    bool end_awaits_write_{false}; ///< The end of the input is reported when the outstanding write ends.
    bool closed_reported_{false};
};

class tcp_listener {
public:
    /// \param on_connection called for each incoming connection; it must accept it from the given stream.
    tcp_listener(event_loop& loop, std::function<void(uv_stream_t*)> on_connection);
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;
    ~tcp_listener();
    /// \returns false when the address is invalid or cannot be bound.
    /// \param receive_buffer of each connection that is accepted; nothing: the system decides.
    bool listen(const std::string& ip, std::uint16_t port,
                std::optional<std::size_t> receive_buffer = std::nullopt);
    /// The bound port; 0 on error.
    std::uint16_t port() const;

private:
    struct handle_block;
    handle_block* block_;
};

} // namespace clementinegap
