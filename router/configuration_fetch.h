#pragma once

#include "net/http_client_connection.h"
#include "routing/upstream_record.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace clementinegap {

/// Fetches the configuration in force from another entry daemon, one request at a time. A failed request is
/// not reported or retried, because the next load report triggers another one. A request in progress is given
/// time to succeed, since the peer may be slow.
class configuration_fetch final : private http_client_connection::exchange {
public:
    using callback = std::function<void(std::string text)>;

    /// Path at which a daemon serves its configuration, on its peer address.
    static constexpr std::string_view path = "/configuration";

    configuration_fetch(event_loop& loop, callback on_text) : loop_(loop), on_text_(std::move(on_text)) {}
    ~configuration_fetch() override;
    configuration_fetch(const configuration_fetch&) = delete;
    configuration_fetch& operator=(const configuration_fetch&) = delete;

    void start(const endpoint& peer);

private:
    http_client_connection::head_verdict on_response_head(const http_head& head) override;
    void on_response_bytes(std::string_view bytes) override;
    void on_response_end(bool reusable) override;
    void on_exchange_failed(const exchange_failure&) override { requested_at_.reset(); }

    /// A request that takes longer is replaced by the next one.
    static constexpr duration response_timeout = seconds(1);
    /// A configuration is one row of the store, at most 64 KiB there; a response beyond this limit is taken
    /// to be endless.
    static constexpr std::size_t max_text_bytes = std::size_t{4} << 20U;

    event_loop& loop_;
    callback on_text_;
    std::shared_ptr<http_client_connection> connection_;
    std::optional<time_point> requested_at_; ///< While a request is in progress.
    int status_{0};
    std::string text_;
};

} // namespace clementinegap
