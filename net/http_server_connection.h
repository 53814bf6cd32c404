#pragma once

#include "net/http_reader.h"
#include "net/input_buffer.h"
#include "net/peer_connections.h"
#include "net/tcp_connection.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace clementinegap {

/// Size limits and timeouts for a client's requests.
struct server_limits {
    std::size_t header_bytes{16384};
    std::size_t body_bytes{std::size_t{4} << 20U};
    duration header_timeout{seconds(3)};
    duration idle_timeout{seconds(15)};
};

/// A client's persistent connection: reads complete requests one after the other and sends the responses.
/// Callbacks must not destroy the connection.
class http_server_connection final : private tcp_connection_events,
                                     private deferred_work,
                                     private peer_connections::member {
public:
    class handler {
    public:
        handler() = default;
        handler(const handler&) = delete;
        handler& operator=(const handler&) = delete;
        virtual ~handler() = default;
        virtual void on_request(http_server_connection& from, http_head head, std::string body) = 0;
        /// The request was rejected before it was complete. \returns the bytes of the response to send.
        virtual std::string error_response(int status, std::string_view text) = 0;
        /// The connection was closed or lost; nothing more can be sent.
        virtual void on_disconnected(http_server_connection& from) = 0;
        /// All written data was passed to the operating system.
        virtual void on_written(http_server_connection& from) = 0;
    };

    /// \param peers limits the number of connections; nullptr: it is not limited, and the connection is not
    /// closed for memory.
    http_server_connection(event_loop& loop, handler& owner, server_limits limits,
                           peer_connections::group* peers = nullptr);
    http_server_connection(const http_server_connection&) = delete;
    http_server_connection& operator=(const http_server_connection&) = delete;
    ~http_server_connection() override;
    /// \returns false if the connection is not there any more or there is no room for it.
    bool accept(uv_stream_t* listening, const keepalive_limits& keepalive);

    /// Sends a part of the response to the request passed to `on_request` last.
    void write(std::string bytes) { tcp_.write(std::move(bytes)); }
    /// Sends a whole response. Its body is left out if the request is HEAD: the client would take it for the
    /// beginning of its next response.
    void write_response(std::string response);
    /// The response in progress ends with its connection. The client gets a reset if this process ends
    /// before.
    void reset_unless_ended() { tcp_.reset_unless_ended(); }
    std::size_t unwritten() const { return tcp_.unwritten(); }
    /// Bytes of responses that the operating system did not take, because the client reads slowly.
    std::size_t backlog() const { return tcp_.backlog(); }
    /// Bytes of responses that the client has not acknowledged.
    std::size_t undelivered() const { return tcp_.undelivered(); }
    /// Ends the response. \param close whether to close the connection after it.
    void end_response(bool close);
    /// Resets the connection in the middle of a response, so that the client cannot mistake it for complete.
    void abort();
    void set_limits(server_limits limits) { limits_ = limits; }
    /// Whether no request is being received or handled and the last response has been written.
    bool idle() const { return state_ == state::awaiting_head && pending_.empty() && unwritten() == 0; }
    bool closed() const { return state_ == state::closed; }
    /// The time at which to call `on_due`.
    time_point due() const { return due_; }
    void on_due(time_point now);
    /// Closes the connection if it is idle.
    void close_idle();

private:
    enum class state : std::uint8_t { awaiting_head, reading_body, handling, closing, closed };

    /// Limit of bytes read ahead of the current request; reading stops above it.
    static constexpr std::size_t read_ahead_bytes = std::size_t{64} * 1024;
    /// Limit of response bytes that the client has not taken, above which its next request waits.
    static constexpr std::size_t max_unread_bytes = std::size_t{32} * 1024;
    /// Bytes that a peer that gets on sends or takes between two calls of `note_progress`.
    static constexpr std::uint64_t substantial_bytes = 256;
    /// What a connection takes in addition to its buffers, in the process and in the system, about.
    static constexpr std::size_t connection_bytes = std::size_t{4} * 1024;
    /// Receive buffer of a connection that sends a large body. The listening socket gives others less.
    static constexpr std::size_t body_receive_buffer = std::size_t{64} * 1024;
    /// Time for the client to close the connection after it has received its last response.
    static constexpr duration close_timeout = seconds(1);

    void on_bytes(std::string_view bytes) override;
    void on_closed(close_cause cause) override;
    void on_written() override;
    void go_on() override;
    connection_usage usage(time_point now) const override;
    void note_progress(time_point now) override;
    void shed() override;
    void replace() override;
    connection_usage::phase phase() const;
    /// Whether the client has taken so little of its responses that its next request waits.
    bool is_behind() const;
    /// The next request that has been received is handled in the next iteration of the loop.
    void defer_next_request();
    void append_to_body(std::string_view bytes);
    void process_pending();
    void resume_reading();
    void skip_empty_lines();
    bool read_head();
    void count_held() { held_.resize(pending_.capacity() + body_.capacity() + head_bytes_); }
    void read_body();
    void drop_request();
    void refuse(int status, std::string_view text);
    /// Closes the connection, or waits for the timeout once more if the client is still receiving a response.
    void close_or_wait(time_point now, duration timeout);
    void set_closed();

    event_loop& loop_;
    tcp_connection tcp_;
    byte_reservation held_;
    byte_reservation connection_;
    peer_connections::group* peers_;
    handler& handler_;
    server_limits limits_;
    http_reader reader_;
    http_head head_;
    std::size_t head_bytes_{0}; ///< Memory of `head_`.
    input_buffer pending_;
    std::size_t searched_{0}; ///< Bytes of `pending_` in which no head ends.
    std::string body_;
    state state_{state::awaiting_head};
    bool is_head_request_{false};
    bool too_large_{false};
    bool no_memory_{false}; ///< The body was dropped, because the process holds too much.
    bool paused_{false};
    bool is_deferred_{false};   ///< The next request has been received; it is handled in the next iteration.
    bool awaits_reader_{false}; ///< The next request has been received; it waits until responses are read.
    std::uint64_t received_{0};
    std::uint64_t noted_{0};   ///< Bytes received and acknowledged at the previous `note_progress`.
    time_point progress_at_{}; ///< When the peer last got on.
    time_point due_{never};
};

} // namespace clementinegap
