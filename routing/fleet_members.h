#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// The other daemons that may send to the upstreams, as a basis for dividing their rate limits. In contrast
/// to `load_tracker`, a daemon whose reports stop is kept for some time: it may only be disconnected from
/// this one and go on sending.
class fleet_members {
public:
    /// A daemon sent a report.
    /// \param next_in time until its next report.
    void on_report(std::string_view daemon, duration next_in, time_point now);
    /// Number of registered daemons, including this one; fewer may be alive.
    void set_registered(std::size_t daemons) { registered_ = daemons; }
    /// To be called before other events are processed.
    /// \returns whether this process was suspended. It then knows too little of the other daemons to count
    /// itself as a member.
    bool on_time(time_point now);
    void expire(time_point now);

    /// The part of its shares that this daemon may use, 0 to 1. It is 0 until the others have received this
    /// daemon's reports and it has received theirs, so that they divide a limit alike. As long as it has
    /// heard only a minority of the registered daemons, it is in proportion to them.
    double portion(time_point now) const;
    /// The others, by name.
    std::vector<std::string> others() const;
    /// Changes whenever `others` does.
    std::uint64_t revision() const { return revision_; }

private:
    /// Daemons that start together have received each other's reports by then.
    static constexpr duration min_join_time = seconds(2);
    /// If some of the registered daemons do not run, the reports of all others have arrived by then, also in
    /// a fleet of hundreds, which report every two seconds.
    static constexpr duration max_join_time = seconds(6);
    /// Longer than most restarts of a VM and most network disturbances.
    static constexpr duration lifetime = seconds(15);
    /// If most daemons seem to be gone, this one is more likely disconnected from them. After this time they
    /// are taken as gone.
    static constexpr duration minority_lifetime = seconds(60);
    /// Reports of a large fleet that may be lost one after the other.
    static constexpr int report_intervals = 5;
    /// Several times the interval of the router's own timers.
    static constexpr duration suspension_threshold = seconds(1);

    struct member {
        time_point heard_at;
        duration next_in{0};
    };
    std::map<std::string, member, std::less<>> members_;
    std::size_t registered_{1};
    time_point joining_since_{never};
    time_point last_event_{};
    std::uint64_t revision_{0};
};

} // namespace clementinegap
