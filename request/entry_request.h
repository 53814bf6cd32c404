#pragma once

#include "config/configuration.h"
#include "core/timer_service.h"
#include "request/entry_events.h"
#include "request/messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace clementinegap {

/// An open request to an upstream daemon for a slot.
struct reservation {
    std::string vm;
    attempt_id attempt;
};

/// The attempt that was dispatched.
struct running_attempt {
    std::string vm;
    attempt_id attempt;
    bool started{false};
    std::uint16_t status{0}; ///< Of its response head.
    std::string content_type{};
};

/// The state of one request at an entry daemon from its admission to its end.
struct entry_request {
    caller_request input;
    std::string id;
    request_class rules; ///< A copy: a change of configuration does not alter requests under way.
    std::string workspace;
    double workspace_weight{1};
    std::string fingerprint;
    time_point arrived;
    time_point deadline_at;
    time_point target_at;
    std::vector<reservation> reservations;
    std::optional<running_attempt> running;
    std::optional<running_attempt> hedge; ///< A second attempt; the first token decides between the two.
    std::set<std::string, std::less<>> refused_by; ///< Upstreams that refused it as overloaded.
    duration max_refusal_wait{0};
    std::uint32_t moves{0};
    std::uint64_t unconsumed{0};  ///< Bytes that the caller has not consumed yet.
    bool at_event_boundary{true}; ///< The delivered part of a stream ends with a whole event.
    time_point progress_at;       ///< When the running attempt last sent a chunk.
    std::uint32_t dispatches{0};
    bool dispatched_directly{false}; ///< Dispatched once without waiting for a grant.
    ran_state ran{ran_state::no};    ///< Execution state of the attempts that have ended.
    bool caller_left{false};
    bool head_sent{false};
    std::uint16_t status{0};
    std::string content_type;
    std::string held;          ///< Bytes of a response that is not streamed, buffered until it is complete.
    std::uint64_t received{0}; ///< Bytes received of the running attempt's response.
    std::uint32_t tokens{0};   ///< Tokens received.
    time_point first_token_at{never};
    time_point first_dispatch_at{never};
    std::uint32_t wasted_tokens{0}; ///< Received from attempts that were lost.
    result_code last_refusal{result_code::no_upstream};
    duration last_retry_after{0};
    timer_service::timer_id deadline_timer{0};
    timer_service::timer_id retry_timer{0};
    timer_service::timer_id widen_timer{0};
    timer_service::timer_id hedge_timer{0};

    bool runs_as(attempt_id attempt) const { return running && running->attempt == attempt; }
    bool is_hedged_by(attempt_id attempt) const { return hedge && hedge->attempt == attempt; }
};

using entry_request_ptr = std::shared_ptr<entry_request>;

} // namespace clementinegap
