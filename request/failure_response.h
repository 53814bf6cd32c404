#pragma once

#include "request/entry_events.h"

#include <string>
#include <string_view>

/// \file
/// The format of failures sent to callers.

namespace clementinegap {

/// The failure reported to a caller.
struct failure_notice {
    result_code code{result_code::internal};
    ran_state ran{ran_state::no};
    duration retry_after{0}; ///< Zero: no advice.
    std::string detail;      ///< More than the code's own text, empty without.
};

/// The JSON body of a failure.
std::string failure_body(const failure_notice& notice, std::string_view request_id);

/// A complete HTTP response for a request that failed before its first byte.
full_response failure_response(caller_id caller, const failure_notice& notice, std::string_view request_id);

/// The server-sent event that ends a stream which failed after its first byte.
std::string failure_stream_event(const failure_notice& notice, std::string_view request_id);

} // namespace clementinegap
