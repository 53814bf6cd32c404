#pragma once

#include "policy/poison.h"
#include "request/attempt_registry.h"
#include "request/upstream_context.h"

#include <string>
#include <vector>

namespace clementinegap {

/// Requests that may have crashed the engine. Suspects run one at a time, so that the next crash names the
/// right one; a request that is proved guilty is quarantined by all daemons.
class crash_suspects {
public:
    crash_suspects(upstream_context& context, const attempt_registry& attempts)
        : context_(context), attempts_(attempts)
    {
    }

    void item_seen(const soft_item& item) { poison_.soft_state_received(item, context_.now); }
    bool is_quarantined(const std::string& fingerprint) const
    {
        return poison_.is_quarantined(fingerprint, context_.now);
    }
    /// Whether another suspect is out, so that this one has to wait.
    bool must_wait(const upstream_attempt& attempt) const;
    void park(const upstream_attempt_ptr& attempt) { parked_.push_back(attempt); }
    /// An attempt ended: the parked ones, without it, may try again.
    std::vector<upstream_attempt_ptr> take_parked(const upstream_attempt_ptr& ended);
    /// A run broke: suspects all that ran at the time.
    void engine_broke();
    void ended_well(const upstream_attempt& attempt);

private:
    upstream_context& context_;
    const attempt_registry& attempts_;
    poison_tracker poison_;
    std::vector<upstream_attempt_ptr> parked_;
    time_point blamed_at_{};
};

} // namespace clementinegap
