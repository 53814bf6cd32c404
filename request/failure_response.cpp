#include "request/failure_response.h"

#include "core/checked_json.h"

namespace clementinegap {
namespace {

json failure_json(const failure_notice& notice, std::string_view request_id)
{
    const auto& entry = describe(notice.code);
    json body{{"code", static_cast<int>(notice.code)},
              {"type", std::string(entry.name)},
              {"message", notice.detail.empty() ? std::string(entry.text) : notice.detail},
              {"ran", std::string(to_string(notice.ran))},
              {"request_id", std::string(request_id)}};
    if (notice.retry_after > duration::zero()) {
        body["retry_after_ms"] = to_milliseconds(notice.retry_after);
    }
    return json{{"error", std::move(body)}};
}

std::string whole_seconds(duration span)
{
    return std::to_string(std::chrono::ceil<seconds>(span).count());
}

} // namespace

std::string failure_body(const failure_notice& notice, std::string_view request_id)
{
    return failure_json(notice, request_id).dump(-1, ' ', false, json::error_handler_t::replace);
}

full_response failure_response(caller_id caller, const failure_notice& notice, std::string_view request_id)
{
    full_response response;
    response.caller = caller;
    response.status = describe(notice.code).http_status;
    response.headers = {{"Content-Type", "application/json"},
                        {"Clementinegap-Request-Id", std::string(request_id)}};
    if (notice.retry_after > duration::zero()) {
        response.headers.emplace_back("Retry-After", whole_seconds(notice.retry_after));
    }
    response.body = failure_body(notice, request_id);
    return response;
}

std::string failure_stream_event(const failure_notice& notice, std::string_view request_id)
{
    return "event: error\ndata: " + failure_body(notice, request_id) + "\n\n";
}

} // namespace clementinegap
