#pragma once

#include "routing/routed_request.h"
#include "routing/router_events.h"

#include <string>

namespace clementinegap {

/// The order to send a request to the upstream that was chosen for it.
send_request make_send_request(const routed_request& request, const upstream_choice& choice,
                               duration time_left);

/// What decided a send, for the log. Every figure has its name before it.
std::string describe_send(const routed_request& request, const upstream_choice& choice, duration time_left);

/// How long the request has been here, and when its answer began, for the log.
std::string describe_wait(const routed_request& request, time_point now);

/// What is counted of a request that is over.
measure_request make_measure_request(const routed_request& request, result_code code, time_point now);

} // namespace clementinegap
