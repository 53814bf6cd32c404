#pragma once

#include "net/http_reader.h"
#include "net/tcp_connection.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace clementinegap {

/// How an exchange ended without a whole answer.
struct exchange_failure {
    bool connected{false}; ///< Whether any of the request may have been sent.
    bool not_http{false};  ///< The peer sent something else than an answer.
};

/// A kept HTTP/1.1 connection to one server, for one exchange at a time. Whatever arrives outside an exchange
/// makes it useless. Callbacks must not destroy the connection.
class http_client_connection final : private tcp_connection_events {
public:
    enum class head_verdict : std::uint8_t {
        take,
        take_without_body, ///< An answer to HEAD.
        discard,           ///< An answer to something else; the one that is awaited comes after it.
    };

    /// The side that asked.
    class exchange {
    public:
        exchange() = default;
        exchange(const exchange&) = delete;
        exchange& operator=(const exchange&) = delete;
        virtual ~exchange() = default;
        virtual head_verdict on_response_head(const http_head& head) = 0;
        virtual void on_response_bytes(std::string_view bytes) = 0;
        /// The answer is whole. \param reusable whether the connection can take another request.
        virtual void on_response_end(bool reusable) = 0;
        virtual void on_exchange_failed(const exchange_failure& why) = 0;
    };

    /// \param on_idle_close called when the connection ends while no exchange is under way.
    http_client_connection(event_loop& loop, std::function<void()> on_idle_close);

    /// False when the address cannot be used.
    bool connect(const std::string& ip, std::uint16_t port, const keepalive_limits& limits);
    /// Sends a request, once connected; the connection must be idle.
    void start(std::string request, exchange& owner);
    bool idle() const { return !busy_ && !ended_; }
    bool connected() const { return connected_; }
    /// Ends the exchange without a word to its side; the connection is of no further use.
    void abandon();
    /// Gives up a connection that is not made in time.
    void connect_timed_out();
    /// Stops or resumes reading the answer.
    void pause(bool paused) { tcp_.pause(paused); }
    time_point idle_since() const { return idle_since_; }

private:
    /// Answers to other requests before the one that is awaited: late copies come one or two at a time.
    static constexpr std::size_t max_discarded_responses = 8;
    static constexpr std::size_t max_discarded_bytes = std::size_t{1} << 20U;

    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_closed(close_cause cause) override;
    /// Whether what arrives belongs to an exchange; tells the owner when an idle connection is over.
    bool expects_data();
    void fail(const exchange_failure& why);
    bool exceeds_discard_limits() const;
    void finish(bool reusable);

    tcp_connection tcp_;
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
