#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>

namespace clementinegap {

/// Decides when a daemon asks the store whether its rows of a table are still complete. A call that waits for
/// a change can be lost without a trace, so the lack of an answer does not mean that nothing has changed. One
/// daemon of the fleet, the first in a ranking, limits the waits of its calls; its reports tell the others
/// when the store last answered. A daemon that does not hear of such an answer in time asks the store itself.
class row_confirmation {
public:
    /// \param bound within which a change of the table must reach every daemon.
    explicit row_confirmation(duration bound);

    /// The rows of this daemon contained all changes until this time, as the store told it or another daemon.
    void confirmed(time_point at) { confirmed_at_ = std::max(confirmed_at_, at); }
    /// Since when changes may be missing.
    time_point confirmed_at() const { return confirmed_at_; }

    /// How long the calls of a daemon that reads the store wait for a change.
    /// \param rank number of daemons that read the store and precede this one in the ranking.
    duration longest_wait(std::size_t rank) const;
    /// Whether this daemon has to ask the store.
    /// \param report_interval time between the reports of another daemon.
    bool is_due(std::size_t rank, duration report_interval, time_point now) const;

private:
    /// Time between two answers to the first daemon of the ranking. A change that it finds must still be read
    /// by the others within the bound.
    duration interval() const;

    duration bound_;
    time_point confirmed_at_{};
};

} // namespace clementinegap
