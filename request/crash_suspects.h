#pragma once

#include "policy/poison.h"
#include "request/attempt_registry.h"
#include "request/upstream_context.h"

#include <string>
#include <vector>

namespace clementinegap {

/// Requests that may have crashed the engine. Suspects run one at a time, so that the next crash
/// identifies the cause; that request is then quarantined by all daemons.
class crash_suspects {
public:
    crash_suspects(upstream_context& context, const attempt_registry& attempts)
        : context_(context), attempts_(attempts)
    {
    }

    void on_soft_state(const soft_state_item& item) { poison_.soft_state_received(item, context_.now); }
    bool is_quarantined(const std::string& fingerprint) const
    {
        return poison_.is_quarantined(fingerprint, context_.now);
    }
    /// Whether another suspect is active, so that this one has to wait.
    bool must_wait(const upstream_attempt& attempt) const;
    void defer(const upstream_attempt_ptr& attempt) { deferred_.push_back(attempt); }
    /// An attempt ended: returns the deferred ones except it, which may be queued again.
    std::vector<upstream_attempt_ptr> take_deferred(const upstream_attempt_ptr& ended);
    /// A run broke: all requests running at this time become suspects.
    void on_engine_crash();
    void on_run_completed(const upstream_attempt& attempt);

private:
    upstream_context& context_;
    const attempt_registry& attempts_;
    poison_tracker poison_;
    std::vector<upstream_attempt_ptr> deferred_;
    time_point last_crash_at_{};
};

} // namespace clementinegap
