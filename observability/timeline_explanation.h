#pragma once

#include "observability/timeline.h"

#include <span>
#include <string>

namespace clementinegap {

/// Tells in words what became of one request and why: on which upstreams and by what decision, where its time
/// went, and why it was refused or failed. `events` are those of the request, in causal order.
std::string explain_request(std::span<const timeline_event> events);

} // namespace clementinegap
