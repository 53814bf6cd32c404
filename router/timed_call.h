#pragma once

#include "net/http_client_connection.h"
#include "routing/upstream_record.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace clementinegap {

/// Makes one HTTP call at a time, each over a connection of its own and with a deadline. At the deadline, and
/// if the process ends, the connection is reset, so that the server receives nothing of the call later.
class timed_call final : private http_client_connection::exchange {
public:
    struct result {
        http_head head; ///< Its status is 0 without a complete response in time.
        std::string body;
        std::string error; ///< Why there is none, for the log.
    };
    using callback = std::function<void(const result&)>;

    timed_call(event_loop& loop, callback on_end);
    ~timed_call() override;
    timed_call(const timed_call&) = delete;
    timed_call& operator=(const timed_call&) = delete;

    /// Starts a call; none may be in progress. Ends with a callback, possibly before this returns.
    void start(const endpoint& server, std::string request, time_point deadline, time_point now);
    /// Ends a call whose deadline has passed. Must not be called from a callback of a connection.
    void run(time_point now);
    bool in_progress() const { return deadline_ != never; }
    /// When `run` must be called next.
    time_point due() const { return deadline_; }

private:
    static constexpr std::size_t max_response_bytes = std::size_t{1} << 20U;

    http_client_connection::head_verdict on_response_head(const http_head& head) override;
    void on_response_bytes(std::string_view bytes) override;
    void on_response_end(bool reusable) override;
    void on_exchange_failed(const exchange_failure& failure) override;
    void end(result ended);

    event_loop& loop_;
    callback on_end_;
    std::shared_ptr<http_client_connection> connection_;
    /// Connections that may be in a callback; destroyed by `run`.
    std::vector<std::shared_ptr<http_client_connection>> retired_;
    time_point deadline_{never};
    http_head head_;
    std::string body_;
};

} // namespace clementinegap
