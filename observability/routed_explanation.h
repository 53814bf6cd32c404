#pragma once

#include "observability/timeline.h"

#include <span>
#include <string>
#include <string_view>

namespace clementinegap {

/// Tells in words what became of one request that an entry routed straight to upstreams, and why: the
/// decisions with what they rested on, then what happened around it at the same upstream and with the store.
/// \param events of all requests and processes, in order of time.
std::string explain_routed_request(std::span<const timeline_event> events, std::string_view request_id);

} // namespace clementinegap
