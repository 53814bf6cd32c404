#pragma once

#include "core/timer_service.h"
#include "routing/prompt.h"
#include "routing/router_events.h"
#include "routing/upstream_choice.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementinegap {

/// A request that the router holds.
struct routed_request {
    request_number number{0};
    std::string id;
    std::shared_ptr<const route_table> table; ///< Keeps `matched_route` alive.
    const route* matched_route{nullptr};
    std::string service;
    std::string workspace;
    std::uint8_t urgency{0};
    std::string fingerprint; ///< The same for every time that a caller sends the same work.
    prompt_info prompt;
    duration step_tolerance{0};
    time_point arrived;
    time_point ends_at; ///< The caller's deadline or the route's timeout.
    timer_service::timer_id timer{0};

    upstream_ptr upstream;           ///< Of the current send; nullptr without one.
    std::uint32_t prefill_tokens{0}; ///< Counted as still to be read at the upstream.
    bool short_gap{false};           ///< Of the kind of stream that tolerates the shortest gaps.
    bool first_event{false};         ///< Of the current send.
    bool response_begun{false}; ///< The caller has the head of an answer, of this send or an earlier one.
    time_point sent_at;
    duration first_event_after{0};  ///< From the send to the first event.
    duration expected_start{0};     ///< Until the first event, as expected when it was sent.
    upstream_choice sent_choice;    ///< What was chosen and expected for the current send.
    std::vector<std::string> tried; ///< Upstreams that it was sent to or that could not be reached.
    std::uint32_t sends{0};         ///< Sends that reached an upstream.
    duration expected_wait{0};      ///< Expected wait at the upstream chosen last.
    std::uint32_t unreachable{0};
    bool may_have_run{false};
    bool is_probe{false}; ///< The current send tries out an upstream after a pause.
    bool waiting{false};  ///< For an upstream of its service to open.

    bool is_generation() const { return prompt.is_generation(); }
};

} // namespace clementinegap
