#pragma once

#include "policy/poison.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Finds the requests that crash upstreams. A lost answer alone is no proof: the sends that were lost at an
/// upstream are blamed once it turns out that its process is gone, by a refused connection or a new
/// incarnation in the directory.
class crash_watch {
public:
    /// A send was lost with the connection it was on.
    void send_lost(std::string_view upstream, const std::string& fingerprint, time_point now);
    /// The process of this upstream is gone; returns what is to be spread to the other daemons.
    std::vector<soft_item> process_gone(std::string_view upstream, time_point now);
    std::optional<soft_item> ended_well(const std::string& fingerprint, time_point now);
    void on_item(const soft_item& item, time_point now) { book_.on_item(item, now); }
    bool is_quarantined(std::string_view fingerprint, time_point now) const;
    void expire(time_point now);

private:
    /// A refused connection later than this after a loss says nothing of that loss.
    static constexpr duration evidence_span = seconds(3);

    struct loss {
        std::string fingerprint;
        time_point at;
    };
    std::map<std::string, std::vector<loss>, std::less<>> losses_;
    poison_book book_;
};

} // namespace clementinegap
