#pragma once

#include "duties/usage_report.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinegap {

/// The newest counts of each process of the fleet (daemon and incarnation) for the last windows, also of
/// processes that have ended. Counts of a process only rise, so statements may arrive in any order.
class usage_ledger {
public:
    /// \returns false if the window already has the largest number of workspaces or is too old.
    bool count(std::string_view daemon, std::uint64_t incarnation, window_number window,
               std::string_view workspace);
    /// A daemon states its counts. It names its current window even without counts, which shows that the
    /// windows before have ended for it.
    void state(std::string_view daemon, std::uint64_t incarnation, std::span<const usage_report> windows);
    /// The counts of one process for the last `limit` windows that come after `sent`, oldest first. The
    /// current window is always there.
    std::vector<usage_report> of(std::string_view daemon, std::uint64_t incarnation, window_number sent,
                                 std::size_t limit) const;

    /// The sum over all processes.
    usage_report total(window_number window) const;
    /// Daemons heard in this window or the one before that have not stated counts after its end.
    std::size_t silent_daemons(window_number window) const;
    /// Whether more than half of the daemons known stated counts after its end. A daemon that is cut off from
    /// the others must not take its own counts for all.
    bool hears_majority(window_number window) const;
    bool is_complete(window_number window) const
    {
        return silent_daemons(window) == 0 && hears_majority(window);
    }
    /// Whether the daemon was heard lately.
    bool knows(std::string_view daemon) const { return newest_.contains(daemon); }
    /// The first window in which a daemon is known to have run, within those kept.
    window_number first() const { return first_; }

    /// Sets the current window and drops what is too old or was sent.
    void advance(window_number current, window_number sent);

private:
    using process = std::pair<std::string, std::uint64_t>;
    using counts = std::map<std::string, std::uint64_t, std::less<>>;
    bool is_kept(window_number window) const;

    std::map<window_number, std::map<process, counts>> windows_;
    /// The newest window that each daemon stated.
    std::map<std::string, window_number, std::less<>> newest_;
    window_number current_{0};
    window_number sent_{0};
    window_number first_{0};
};

} // namespace clementinegap
