#include "request/request_summary.h"

#include <algorithm>

namespace clementinegap {

request_metrics summary_of(const entry_request& request, result_code code, ran_state ran, time_point now)
{
    const bool has_token = request.first_token_at != never;
    request_metrics measured;
    measured.class_name = request.rules.name;
    measured.code = code;
    measured.ran = ran;
    measured.first_token = has_token ? request.first_token_at - request.arrived : duration::zero();
    measured.total = now - request.arrived;
    measured.tokens = request.tokens;
    measured.tier = request.rules.tier;
    measured.queue_wait = std::min(request.first_dispatch_at, now) - request.arrived;
    measured.dispatches = request.dispatches;
    measured.wasted_tokens = request.wasted_tokens + (code == result_code::ok ? 0 : request.tokens);
    measured.target_met = code == result_code::ok && has_token && request.first_token_at <= request.target_at;
    return measured;
}

} // namespace clementinegap
