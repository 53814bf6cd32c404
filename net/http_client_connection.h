#pragma once

#include "net/http_reader.h"
#include "net/tcp_connection.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace clementinegap {

/// Why an exchange ended without a complete response.
struct exchange_failure {
    bool connected{false}; ///< Part of the request may have been sent.
    bool not_http{false};  ///< The peer sent bytes that are not a valid response.
    bool refused{false};   ///< Nothing listens at the peer's address.
};

/// A persistent HTTP/1.1 client connection to one server, with one exchange at a time. Data received outside
/// an exchange ends the connection. Callbacks must not destroy the connection.
class http_client_connection final : private tcp_connection_events {
public:
    enum class head_verdict : std::uint8_t {
        take,
        take_without_body, ///< A response to HEAD.
        discard,           ///< A response to another request; the expected one follows.
    };

    /// Receives the events of one exchange.
    class exchange {
    public:
        exchange() = default;
        exchange(const exchange&) = delete;
        exchange& operator=(const exchange&) = delete;
        virtual ~exchange() = default;
        virtual head_verdict on_response_head(const http_head& head) = 0;
        virtual void on_response_bytes(std::string_view bytes) = 0;
        /// The response is complete. \param reusable whether the connection accepts another request.
        virtual void on_response_end(bool reusable) = 0;
        virtual void on_exchange_failed(const exchange_failure& why) = 0;
    };

    /// \param on_idle_close called when the connection ends while no exchange is under way.
    http_client_connection(event_loop& loop, std::function<void()> on_idle_close);

    /// Starts to connect. \returns false when the address is invalid or the attempt fails at once.
    bool connect(const std::string& ip, std::uint16_t port, const keepalive_limits& limits);
    /// Sets the size of the system's buffer for received bytes; after `connect`.
    void set_receive_buffer(std::size_t bytes) { tcp_.set_receive_buffer(bytes); }
    /// Sends a request as soon as the connection is established; the connection must be idle.
    void start(std::string request, exchange& owner);
    bool idle() const { return !busy_ && !ended_; }
    bool connected() const { return connected_; }
    /// From now on the server gets a reset when the connection is closed or this process ends, so that the
    /// system delivers nothing of a request after that.
    void reset_on_close() { tcp_.reset_unless_ended(); }
    /// Undoes `reset_on_close`, after a complete response.
    void close_in_order() { tcp_.close_in_order(); }
    /// Closes the connection and ends the exchange without notifying it.
    void abandon();
    /// Fails the exchange if the connection is not established yet.
    void connect_timed_out();
    /// Stops or resumes reading the response.
    void pause(bool paused) { tcp_.pause(paused); }
    time_point idle_since() const { return idle_since_; }

private:
    /// Limit of responses to other requests before the expected one; late duplicates come one or two at a
    /// time.
    static constexpr std::size_t max_discarded_responses = 8;
    static constexpr std::size_t max_discarded_bytes = std::size_t{1} << 20U;

    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void read(std::string_view bytes);
    void on_closed(close_cause cause) override;
    /// Whether an exchange is in progress. Ends an idle connection and notifies the owner.
    bool expects_data();
    void fail(const exchange_failure& why);
    bool exceeds_discard_limits() const;
    void finish(bool reusable);

    /// \returns whether the head may go on to grow.
    bool count_held();

    event_loop& loop_;
    tcp_connection tcp_;
    byte_reservation held_;
    std::function<void()> on_idle_close_;
    http_reader reader_;
    exchange* exchange_{nullptr};
    std::string unsent_; ///< Until connected.
    bool busy_{false};
    bool connected_{false};
    bool ended_{false};
    bool discarding_{false};
    std::size_t discarded_responses_{0};
    std::size_t discarded_bytes_{0};
    bool keep_alive_{true};
    time_point idle_since_{};
};

} // namespace clementinegap
