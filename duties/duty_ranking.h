#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace clementinegap {

/// Order of the living daemons by age. The oldest process has heard the most counts, so it acts first.
class duty_ranking {
public:
    duty_ranking(std::string daemon, std::uint64_t incarnation)
        : daemon_(std::move(daemon)), incarnation_(incarnation)
    {
    }

    /// \param next_in time until the next report of that daemon.
    void heard(std::string_view daemon, std::uint64_t incarnation, duration next_in, time_point now);
    /// Number of living daemons that are older than this one.
    std::size_t rank(time_point now) const;

private:
    struct member {
        std::uint64_t incarnation{0};
        time_point lives_until;
    };

    std::string daemon_;
    std::uint64_t incarnation_;
    std::map<std::string, member, std::less<>> others_;
};

} // namespace clementinegap
