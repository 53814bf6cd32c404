#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Time of day of the fleet: the median, over the daemons heard lately and this one, of each daemon's time of
/// day relative to the local clock that counts suspension. A jump of the clocks of a minority has no effect.
/// It must be called at least every `longest_call_interval` while the process runs; a longer gap is taken as
/// a suspension, after which delayed reports tell no time.
class fleet_clock {
public:
    static constexpr duration longest_call_interval = milliseconds(500);

    /// \param unix_ms time of day of this VM.
    void set_own(std::int64_t unix_ms, time_point now);
    /// \param unix_ms time of day of that daemon when it sent the report that arrived now.
    void heard(std::string_view daemon, std::int64_t unix_ms, time_point now);

    std::int64_t unix_ms(time_point now) const { return to_milliseconds(now.time_since_epoch() + median_); }
    /// Local time at which the fleet's time of day is `unix_ms`.
    time_point local(std::int64_t unix_ms) const { return time_point(milliseconds(unix_ms) - median_); }

private:
    /// The last samples of one daemon.
    struct samples {
        std::vector<duration> offsets;
        time_point heard_at;

        duration median() const;
    };
    void update();
    void notice_suspension(time_point now);

    std::map<std::string, samples, std::less<>> others_;
    duration own_{0};
    duration median_{0};
    bool is_set_{false};
    time_point last_call_{};
    time_point resumed_at_{};
};

} // namespace clementinegap
