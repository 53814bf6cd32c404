#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Decides to which daemons a report is sent. Those of the own availability zone get it directly; of each
/// other zone one daemon does, another one each time, and passes it on within its zone. So a report crosses
/// to a zone once, however many daemons are there, and a daemon that is gone costs its zone one report in
/// many. A daemon that was not heard of late, or whose zone is not known yet, gets all reports directly.
class report_fanout {
public:
    struct target {
        std::string daemon;
        bool forwards{false}; ///< Is asked to pass the report on in its zone.
        bool operator==(const target&) const = default;
    };

    /// \param zone of this daemon, as in `relay_status`.
    explicit report_fanout(std::uint32_t zone) : zone_(zone) {}

    /// The other daemons that are registered.
    void set_peers(const std::vector<std::string>& daemons);
    /// \param valid_for how long the report counts.
    void on_report(std::string_view daemon, std::uint32_t zone, duration valid_for, time_point now);

    /// Whom the next report goes to.
    std::vector<target> next(time_point now);
    /// Whom a report of `origin` is passed on to.
    std::vector<std::string> within_zone(std::string_view origin) const;

private:
    struct peer {
        std::uint32_t zone{0};
        bool zone_known{false};
        time_point valid_until{};
    };

    std::uint32_t zone_;
    std::map<std::string, peer, std::less<>> peers_;
    std::uint64_t round_{0};
};

} // namespace clementinegap
