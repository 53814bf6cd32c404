#include "routing/send_order.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace clementinegap {
namespace {

/// Bounds the number of series.
constexpr std::uint8_t lowest_measured_urgency = 9;

} // namespace

send_request make_send_request(const routed_request& request, const upstream_choice& choice,
                               std::uint8_t urgency, duration time_left)
{
    send_request order;
    order.request = request.number;
    order.upstream = choice.upstream;
    order.copy_from = choice.copy_from;
    order.time_left = time_left;
    order.workspace = request.workspace;
    order.urgency = urgency;
    order.is_generation = request.is_generation();
    order.is_stream = request.matched_route->is_stream;
    order.repeatable = request.matched_route->repeat != repeat_rule::once;
    order.resumable = request.matched_route->repeat == repeat_rule::resumable;
    return order;
}

std::string describe_send(const routed_request& request, const send_request& order)
{
    const auto& choice = request.sent_choice;
    auto text = "route " + request.matched_route->name + " configuration " +
                std::to_string(request.table->version()) + " send " + std::to_string(request.sends) +
                " urgency " + std::to_string(order.urgency) + " wait_ms " +
                std::to_string(to_milliseconds(choice.expected_wait)) + " prefill " +
                std::to_string(choice.prefill_tokens) + " reread " + std::to_string(choice.reread_tokens) +
                " left_ms " + std::to_string(to_milliseconds(order.time_left));
    if (choice.copy_from) {
        text += " copy_from " + choice.copy_from->id;
    }
    if (request.matched_route->repeat == repeat_rule::resumable) {
        text += " version " + choice.upstream->software_version;
        if (request.continues) {
            text += " continues " + *request.continues;
        }
    }
    return text;
}

std::string describe_wait(const routed_request& request, time_point now)
{
    const auto age = to_milliseconds(now - request.arrived);
    const auto first =
        request.first_event ? std::to_string(to_milliseconds(request.first_event_after)) : "none";
    return "age_ms " + std::to_string(age) + " first_ms " + first;
}

std::string describe_failure(const routed_request& request, const send_failed& event, time_point now)
{
    std::ostringstream text;
    text << to_string(event.fault) << (event.response_begun ? " begun" : "");
    if (event.fault != send_fault::lost || request.prompt.shared_parts().empty()) {
        return std::move(text).str();
    }
    text << " after_first_event_ms ";
    if (const auto streamed = request.streamed_for(now)) {
        text << to_milliseconds(*streamed);
    } else {
        text << "none";
    }
    text << " parts" << std::hex;
    for (const auto& each : request.prompt.shared_parts()) {
        text << ' ' << each.id;
    }
    return std::move(text).str();
}

measure_request make_measure_request(const routed_request& request, result_code code, time_point now)
{
    measure_request measure;
    measure.route = request.matched_route->name;
    measure.code = code;
    measure.urgency = std::min(lowest_measured_urgency, request.priority.workspace);
    measure.total = now - request.arrived;
    measure.first_event = request.matched_route->is_stream
                              ? request.sent_at - request.arrived + request.first_event_after
                              : measure.total;
    measure.on_time = code == result_code::ok && measure.first_event <= request.matched_route->objective;
    measure.sends = request.sends;
    return measure;
}

} // namespace clementinegap
