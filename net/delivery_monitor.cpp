#include "net/delivery_monitor.h"

namespace clementinegap {

bool delivery_monitor::observe(const delivery_state& state, duration elapsed)
{
    const bool has_progress = state.outstanding == 0 || state.acknowledged > acknowledged_;
    acknowledged_ = state.acknowledged;
    if (has_progress) {
        silent_for_ = duration::zero();
        stalled_for_ = duration::zero();
        return false;
    }
    silent_for_ = state.is_silent ? silent_for_ + elapsed : duration::zero();
    stalled_for_ += elapsed;
    return silent_for_ >= silence_limit || stalled_for_ >= stall_limit;
}

} // namespace clementinegap
