#pragma once

#include "request/entry_request.h"
#include "request/failure_response.h"

namespace clementinegap {

/// Whether the idempotency key of a request names one run, over all its sends.
bool is_keyed_run(const request_class& rules, const caller_request& input);

/// What to report of a keyed request that this send did not run: another send under its key may have run or
/// may yet run, unless the cause refuses every send of this body alike.
ran_state execution_state_for_key(result_code code, ran_state ran);

} // namespace clementinegap
