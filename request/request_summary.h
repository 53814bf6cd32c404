#pragma once

#include "request/entry_request.h"

namespace clementinegap {

/// The metrics of a request that has ended at `now`.
request_metrics summary_of(const entry_request& request, result_code code, ran_state ran, time_point now);

} // namespace clementinegap
