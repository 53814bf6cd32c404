#include "request/decision_reason.h"

#include "core/result_code.h"

namespace clementinegap {
namespace {

std::string in_ms(duration span)
{
    return std::to_string(to_milliseconds(span)) + " ms";
}

} // namespace

std::string admission_reason(const entry_request& request)
{
    return "tier " + std::to_string(request.rules.tier) + ", first-token target " +
           in_ms(request.target_at - request.arrived) + ", deadline " +
           in_ms(request.deadline_at - request.arrived);
}

std::string reservation_reason(const upstream_view& view, std::string_view own_zone)
{
    std::string text = std::to_string(view.free_slots) + " free slots, " + std::to_string(view.queued) +
                       " queued, expected wait " + in_ms(view.expected_wait);
    text += view.zone == own_zone ? ", own zone" : ", zone " + view.zone;
    return view.slowed ? text + ", slowed" : text;
}

std::string target_reason(const entry_request& request)
{
    const auto taken = request.first_token_at - request.arrived;
    const auto target = request.target_at - request.arrived;
    return (taken <= target ? "in time: " : "late: ") + in_ms(taken) + ", target " + in_ms(target);
}

std::string refusal_reason(const refused_message& message)
{
    auto text = std::string(describe(message.code).name);
    return message.retry_after > duration::zero() ? text + ", come back in " + in_ms(message.retry_after)
                                                  : text;
}

} // namespace clementinegap
