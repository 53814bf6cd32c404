#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace clementinegap {

/// Decides whose reports are kept. Daemons that the store lists are known; others, which may have started
/// while the store was not read, share a limited memory, so that nobody can fill the process with reports
/// under invented names.
class report_admission {
public:
    /// Bytes of the latest reports of all daemons that are not listed.
    static constexpr std::size_t max_unlisted_bytes = std::size_t{1} << 20U;
    /// Interval that a daemon may state between its reports; the largest fleets report every two seconds.
    static constexpr duration max_interval = seconds(60);

    void set_listed(std::set<std::string, std::less<>> names);
    /// \param bytes size of the report. \returns whether to keep it.
    bool admits(std::string_view daemon, std::size_t bytes, time_point now);

private:
    /// What a report takes in addition to its bytes, about.
    static constexpr std::size_t report_overhead = 1024;
    /// Reports expire after three of their intervals.
    static constexpr duration lifetime = 3 * max_interval;

    struct unlisted_report {
        std::size_t bytes{0};
        time_point at;
    };

    void expire(time_point now);

    std::set<std::string, std::less<>> listed_;
    std::map<std::string, unlisted_report, std::less<>> unlisted_;
    std::size_t unlisted_bytes_{0};
};

} // namespace clementinegap
