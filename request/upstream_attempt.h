#pragma once

#include "core/timer_service.h"
#include "policy/queued_work.h"
#include "request/messages.h"
#include "request/run_record.h"
#include "request/upstream_events.h"

#include <cstdint>
#include <string>

namespace clementinegap {

/// The steps of an attempt at an upstream daemon. Only `running` and later may have touched the engine.
enum class attempt_phase : std::uint8_t {
    queued,          ///< Waits for a slot.
    granted,         ///< Holds a slot and waits for the dispatch.
    claiming,        ///< Waits for the run record to be inserted; holds no slot meanwhile.
    claimed,         ///< Owns its run record and is next to get a slot.
    running,         ///< Runs at the engine.
    preempted,       ///< The engine has paused it; it waits for its next slice without a slot.
    awaiting_outcome ///< Another attempt owns the run record; waits for its outcome.
};

/// The state of one attempt at an upstream daemon from its reservation to its end.
struct upstream_attempt {
    std::uint64_t id{0}; ///< The daemon's own number; also names the run at the engine.
    session_id session{0};
    reserve_message reservation;
    dispatch_message dispatch;
    attempt_phase phase{attempt_phase::queued};
    time_point arrived;
    time_point deadline_at;
    queued_work work;                ///< Its entry in the work queue.
    time_point started_at;           ///< When it was sent to the engine.
    time_point last_token_at{never}; ///< Reset by a pause, which must not count as token latency.
    bool has_starvation_slot{false}; ///< Its current slice was granted because its class was starving.
    bool detached{false};       ///< The entry disconnected; the run continues because it may not be repeated.
    bool reading_paused{false}; ///< The engine's response is not being read.
    std::int64_t credit{0};
    std::uint64_t sent{0};
    std::uint32_t tokens{0};
    std::uint16_t status{0};
    std::string content_type;
    std::string kept_response;         ///< Of a keyed request, for its resends.
    bool kept_response_dropped{false}; ///< The response exceeded the size limit for resends.
    time_point awaiting_since{never};
    timer_service::timer_id timer{0};

    /// Whether its outcome is kept under the caller's idempotency key.
    bool is_keyed() const { return reservation.never_repeat && !reservation.key.empty(); }
    bool holds_slot() const { return phase == attempt_phase::granted || phase == attempt_phase::running; }
    bool at_engine() const { return phase == attempt_phase::running || phase == attempt_phase::preempted; }
    /// Waits in the order of work for a slot, for the first time or for its next slice.
    bool is_queued() const { return phase == attempt_phase::queued || phase == attempt_phase::preempted; }
};

} // namespace clementinegap
