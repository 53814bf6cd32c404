#pragma once

#include "core/timer_service.h"
#include "routing/prompt.h"
#include "routing/request_priority.h"
#include "routing/router_events.h"
#include "routing/stream_origin.h"
#include "routing/upstream_choice.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace clementinegap {

/// The search for the origin of the stream that a caller takes up.
struct origin_search {
    stream_key stream{0};
    time_point ends_at;
    std::set<std::string> unanswered; ///< The daemons that have been asked and have not answered.
    std::set<std::string> versions;   ///< Versions of the service that the others have seen lately.
    bool are_all_versions{false};     ///< One of them has seen all that there were.
    bool is_answered{false};          ///< By one of them at least.
};

/// An open request and its routing state.
struct routed_request {
    request_number number{0};
    std::string id;
    std::shared_ptr<const route_table> table; ///< Owns the route that `matched_route` points to.
    const route* matched_route{nullptr};
    std::string service;
    std::string workspace;
    request_priority priority;
    std::string fingerprint; ///< The same each time that a caller sends the same work.
    prompt_info prompt;
    std::optional<std::string> continues; ///< See `request_arrived`.
    /// What began its stream; nothing as long as no event came, or while this is not known.
    std::optional<stream_origin> origin;
    std::optional<origin_search> search; ///< While other daemons are asked for the origin.
    duration step_tolerance{0};
    time_point arrived;
    time_point ends_at; ///< The caller's deadline or the route's timeout, whichever is earlier.
    timer_service::timer_id timer{0};

    upstream_ptr upstream;           ///< Upstream of the current send; nullptr without one.
    std::uint32_t prefill_tokens{0}; ///< Prompt tokens counted as still to be read at the upstream.
    bool short_gap{false};           ///< Whether this kind of stream tolerates the shortest gaps.
    bool first_event{false};         ///< Whether the current send has produced an event.
    /// The caller has received a response head, from this send or an earlier one.
    bool response_begun{false};
    time_point sent_at;
    duration first_event_after{0};  ///< From the send to the first event.
    duration expected_start{0};     ///< Time to the first event, as expected at the send.
    upstream_choice sent_choice;    ///< The upstream and expectations of the current send.
    std::vector<std::string> tried; ///< Upstreams that it was sent to or that could not be reached.
    std::uint32_t sends{0};         ///< Number of sends that reached an upstream.
    duration expected_wait{0};      ///< Expected wait at the last chosen upstream.
    std::uint32_t unreachable{0};
    bool may_have_run{false};
    bool is_counted{false}; ///< It has begun to run and was counted for its workspace.
    bool is_probe{false};   ///< Whether the current send probes an upstream after a backoff.
    bool waiting{false};    ///< Whether it is queued until an upstream of its service accepts requests.

    bool can_be_resumed() const { return matched_route->repeat == repeat_rule::resumable; }
    bool is_generation() const { return prompt.is_generation(); }
    /// How long the events of the current send have been coming; nothing: none came.
    std::optional<duration> streamed_for(time_point now) const
    {
        return first_event ? std::optional(now - sent_at - first_event_after) : std::nullopt;
    }
};

} // namespace clementinegap
