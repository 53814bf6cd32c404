#include "request/execution_state.h"

namespace clementinegap {
namespace {

/// Whether the code refuses every send of the same request, now and later.
bool refuses_every_send(result_code code)
{
    switch (code) {
    case result_code::malformed_body:
    case result_code::body_too_large:
    case result_code::unknown_class:
    case result_code::key_required:
    case result_code::key_reused:
    case result_code::outcome_unknown: // Is `no` only if an operator settled the record that way.
    case result_code::unauthorized:
    case result_code::bad_header:
        return true;
    default:
        return false;
    }
}

} // namespace

bool is_keyed_run(const request_class& rules, const caller_request& input)
{
    return rules.repeat == repeat_rule::never && !input.idempotency_key.empty();
}

ran_state execution_state_for_key(result_code code, ran_state ran)
{
    return ran == ran_state::no && !refuses_every_send(code) ? ran_state::unknown : ran;
}

} // namespace clementinegap
