#include "router/timed_call.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

/// The system itself gives up data that is not acknowledged for as long as the call may take.
keepalive_limits limits_within(duration span)
{
    constexpr int least_ms = 100;
    keepalive_limits limits{1, 1, 1};
    limits.unacknowledged_timeout_ms = std::max(least_ms, static_cast<int>(to_milliseconds(span)));
    return limits;
}

} // namespace

timed_call::timed_call(event_loop& loop, callback on_end) : loop_(loop), on_end_(std::move(on_end)) {}

timed_call::~timed_call()
{
    if (connection_) {
        connection_->abandon();
    }
}

void timed_call::start(const endpoint& server, std::string request, time_point deadline, time_point now)
{
    deadline_ = deadline;
    head_ = {};
    body_.clear();
    if (deadline <= now) {
        end({{}, "", "no time is left for the call"});
        return;
    }
    connection_ = std::make_shared<http_client_connection>(loop_, [] {});
    if (!connection_->connect(server.ip, server.port, limits_within(deadline - now))) {
        end({{}, "", "connect failed"});
        return;
    }
    connection_->reset_on_close();
    connection_->start(std::move(request), *this);
}

void timed_call::run(time_point now)
{
    retired_.clear();
    if (now >= deadline_) {
        end({{}, "", "response timed out"});
    }
}

http_client_connection::head_verdict timed_call::on_response_head(const http_head& head)
{
    head_ = head;
    return http_client_connection::head_verdict::take;
}

void timed_call::on_response_bytes(std::string_view bytes)
{
    body_.append(bytes);
    if (body_.size() > max_response_bytes) {
        end({{}, "", "response exceeds 1 MiB"});
    }
}

void timed_call::on_response_end(bool)
{
    connection_->close_in_order();
    end({std::move(head_), std::move(body_), ""});
}

void timed_call::on_exchange_failed(const exchange_failure& failure)
{
    end({{},
         "",
         failure.not_http    ? "malformed HTTP response"
         : failure.connected ? "connection lost"
                             : "connect failed"});
}

void timed_call::end(result ended)
{
    deadline_ = never;
    if (connection_) {
        connection_->abandon();
        retired_.push_back(std::move(connection_));
        connection_ = nullptr;
    }
    on_end_(ended);
}

} // namespace clementinegap
