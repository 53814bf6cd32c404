#pragma once

#include "net/http_reader.h"
#include "net/tcp_connection.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace clementinegap {

/// What a client may send and how long it may take.
struct server_limits {
    std::size_t header_bytes{16384};
    std::size_t body_bytes{std::size_t{4} << 20U};
    duration header_timeout{seconds(3)};
    duration idle_timeout{seconds(15)};
};

/// A client's kept connection: reads whole requests one after the other and sends their answers. Callbacks
/// must not destroy the connection.
class http_server_connection final : private tcp_connection_events {
public:
    class handler {
    public:
        handler() = default;
        handler(const handler&) = delete;
        handler& operator=(const handler&) = delete;
        virtual ~handler() = default;
        virtual void on_request(http_server_connection& from, http_head head, std::string body) = 0;
        /// The request was refused before it was whole; `error_response` gives the bytes to answer with.
        virtual std::string error_response(int status, std::string_view text) = 0;
        /// The client closed its connection, or it broke; nothing more can be sent.
        virtual void on_disconnected(http_server_connection& from) = 0;
        /// All that was written is on its way.
        virtual void on_written(http_server_connection& from) = 0;
    };

    http_server_connection(event_loop& loop, handler& owner, server_limits limits);
    bool accept(uv_stream_t* listening, const keepalive_limits& keepalive);

    /// Sends a part of the answer to the request that was given out last.
    void write(std::string bytes) { tcp_.write(std::move(bytes)); }
    std::size_t unwritten() const { return tcp_.unwritten(); }
    /// The answer is whole. \param close whether the connection ends with it.
    void end_response(bool close);
    /// Ends the connection in the middle of an answer, so that the client cannot take it for whole.
    void abort();
    void set_limits(server_limits limits) { limits_ = limits; }
    /// Whether the client waits for nothing and sends nothing.
    bool idle() const { return state_ == state::awaiting_head && pending_.empty(); }
    bool closed() const { return state_ == state::closed; }
    /// When `on_due` is to be called.
    time_point due() const { return due_; }
    void on_due(time_point now);
    /// Closes an idle connection.
    void close_idle();

private:
    enum class state : std::uint8_t { awaiting_head, reading_body, handling, closing, closed };

    /// More bytes than this of further requests are not read ahead.
    static constexpr std::size_t read_ahead_bytes = std::size_t{64} * 1024;
    /// How long the client may take to close after an answer that ends the connection.
    static constexpr duration close_timeout = seconds(1);

    void on_bytes(std::string_view bytes) override;
    void on_closed(close_cause cause) override;
    void on_written() override { handler_.on_written(*this); }
    void process_pending();
    bool read_head();
    void read_body();
    void refuse(int status, std::string_view text);
    void set_closed();

    tcp_connection tcp_;
    handler& handler_;
    server_limits limits_;
    http_reader reader_;
    http_head head_;
    std::string pending_;
    std::string body_;
    state state_{state::awaiting_head};
    bool too_large_{false};
    bool paused_{false};
    time_point due_{never};
};

} // namespace clementinegap
