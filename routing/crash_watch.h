#pragma once

#include "policy/poison.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Finds the requests that crash upstreams. A lost answer alone is no proof: the sends that were lost at an
/// upstream are blamed once it turns out that its process is gone, by a refused connection or a new
/// incarnation in the directory. A request that ended well a short time before is not blamed: what crashes
/// upstreams does not, while a popular one is met at every crash, by every daemon.
class crash_watch {
public:
    /// A send was lost with the connection it was on.
    void send_lost(std::string_view upstream, const std::string& fingerprint, time_point now);
    /// The process of this upstream is gone; returns what is to be spread to the other daemons.
    std::vector<soft_item> process_gone(std::string_view upstream, time_point now);
    std::optional<soft_item> ended_well(const std::string& fingerprint, time_point now);
    void on_item(const soft_item& item, time_point now) { book_.soft_state_received(item, now); }
    bool is_quarantined(std::string_view fingerprint, time_point now) const;
    void expire(time_point now);

private:
    /// A refused connection later than this after a loss says nothing of that loss.
    static constexpr duration evidence_span = seconds(3);

    /// A request that ended well within it is innocent. Longer than any series of restarts.
    static constexpr duration trust_span = seconds(60);
    /// Requests that are remembered to have ended well; past it no more are, until some have grown old.
    static constexpr std::size_t max_trusted = 4096;

    bool is_trusted(const std::string& fingerprint, time_point now) const;

    struct loss {
        std::string fingerprint;
        time_point at;
    };
    std::map<std::string, std::vector<loss>, std::less<>> losses_;
    std::unordered_map<std::uint64_t, time_point> ended_well_at_; ///< By a hash of the fingerprint.
    poison_tracker book_;
};

} // namespace clementinegap
