#include "routing/configuration_record.h"

#include <algorithm>

namespace clementinegap {

void configuration_record::on_stored(std::uint64_t version)
{
    is_older_copy_ = stored_ && version < *stored_;
    stored_ = version;
    newer_since_ = never;
}

void configuration_record::on_reachable(bool reachable)
{
    reachable_ = reachable;
    newer_since_ = never;
}

configuration_record::change configuration_record::due(std::uint64_t in_force,
                                                       std::span<const std::string> others, time_point now)
{
    if (!is_pending(in_force)) {
        return change::none;
    }
    if (in_force <= *stored_) {
        turns_.retain({*recorded_});
        return turns_.is_due(*recorded_, others, now) ? change::remove : change::none;
    }
    newer_since_ = std::min(newer_since_, now);
    const bool is_overdue = is_older_copy_ || now >= newer_since_ + feed_delay;
    if (!is_overdue || *recorded_ >= in_force) {
        return change::none;
    }
    turns_.retain({in_force});
    return turns_.is_due(in_force, others, now) ? change::write : change::none;
}

} // namespace clementinegap
