#pragma once

#include "routing/routed_request.h"
#include "routing/router_events.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>

namespace clementinegap {

/// The status, result code and reason with which a request is refused.
struct refusal {
    int status{0};
    result_code code{result_code::internal};
    std::string detail;
};

/// Resolves the route, workspace and service of a request under a configuration and computes its deadline.
/// The service of a split route is drawn by weight with `random`.
std::variant<routed_request, refusal> admit(const request_arrived& event,
                                            const std::shared_ptr<const route_table>& table,
                                            std::minstd_rand& random, time_point now);

} // namespace clementinegap
