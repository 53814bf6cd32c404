#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Selects the daemons that a report is sent to. Daemons of the own availability zone receive it directly. In
/// each other zone one daemon, chosen in rotation, receives it and forwards it within its zone. A report thus
/// crosses to each zone once, regardless of the number of daemons, and a failed daemon costs its zone only
/// one report in many. A daemon without a recent report, or whose zone is not known yet, receives all reports
/// directly.
class report_fanout {
public:
    struct target {
        std::string daemon;
        bool forwards{false}; ///< The daemon is asked to forward the report within its zone.
        bool operator==(const target&) const = default;
    };

    /// \param zone of this daemon, as in `relay_status`.
    explicit report_fanout(std::uint32_t zone) : zone_(zone) {}

    /// Sets the other registered daemons.
    void set_peers(const std::vector<std::string>& daemons);
    /// \param valid_for how long the report is valid.
    void on_report(std::string_view daemon, std::uint32_t zone, duration valid_for, time_point now);

    /// The recipients of the next report.
    std::vector<target> next(time_point now);
    /// The daemons to which a report of `origin` is forwarded.
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
