#pragma once

#include "routing/routed_request.h"
#include "routing/router_events.h"

#include <string>

namespace clementinegap {

/// The action that sends a request to its chosen upstream.
/// \param urgency that an engine is told; see `urgency_scale`.
send_request make_send_request(const routed_request& request, const upstream_choice& choice,
                               std::uint8_t urgency, duration time_left);

/// Describes the current send of the request for the log: the inputs of the decision and the urgency that the
/// upstream is told. Every value follows its name.
std::string describe_send(const routed_request& request, const send_request& order);

/// Describes the age of the request and the time of its first event, for the log.
std::string describe_wait(const routed_request& request, time_point now);

/// Describes why a send failed, for the log. Of a lost generation it names the shared prompt parts, by which
/// the requests that an upstream ran when it crashed can be compared.
std::string describe_failure(const routed_request& request, const send_failed& event, time_point now);

/// The metrics of a request that has ended.
measure_request make_measure_request(const routed_request& request, result_code code, time_point now);

} // namespace clementinegap
