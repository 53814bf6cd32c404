#pragma once

#include "policy/poison.h"
#include "routing/suspicion_record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Detects requests that crash upstreams. A lost response alone is no evidence: the sends that were lost at
/// an upstream are blamed once a refused connection or a new incarnation in the directory shows that its
/// process has ended. A request that completed successfully within `trust_window` is not blamed, because a
/// popular request is in flight at nearly every crash, in every daemon, while a request that crashes
/// upstreams does not complete.
class crash_watch {
public:
    /// Records that a send was lost with its connection.
    void send_lost(std::string_view upstream, const std::string& fingerprint, time_point now);
    /// The process of this upstream has ended.
    /// \returns the soft state to publish to the other daemons.
    std::vector<soft_state_item> process_ended(std::string_view upstream, time_point now);
    std::optional<soft_state_item> ended_well(const std::string& fingerprint, time_point now);
    void on_item(const soft_state_item& item, time_point now) { poison_.soft_state_received(item, now); }
    /// \returns the withdrawal to publish if another daemon suspects a request that has ended well here
    /// lately. A daemon that has just started cannot know that.
    std::optional<soft_state_item> refute(const soft_state_item& item, time_point now);
    /// The daemons that have recorded these suspicions may no longer run.
    void on_recorded(std::span<const suspicion> recorded, time_point now);
    /// The suspicion of this request, as an item to publish; nothing if there is none.
    std::optional<soft_state_item> item_of(std::string_view fingerprint, time_point now) const
    {
        return poison_.item_of(fingerprint, now);
    }
    bool is_quarantined(std::string_view fingerprint, time_point now) const;
    void expire(time_point now);

private:
    /// A refused connection is not attributed to a loss that is older than this.
    static constexpr duration blame_window = seconds(3);

    /// A request that completed successfully within this time is not blamed. It is longer than any series of
    /// restarts.
    static constexpr duration trust_window = seconds(60);
    /// Limit of remembered successful requests. When it is reached, new ones are ignored until old ones
    /// expire.
    static constexpr std::size_t max_trusted = 4096;

    bool is_trusted(const std::string& fingerprint, time_point now) const;

    struct loss {
        std::string fingerprint;
        time_point at;
    };
    std::map<std::string, std::vector<loss>, std::less<>> losses_;
    std::unordered_map<std::uint64_t, time_point> ended_well_at_; ///< Keyed by a hash of the fingerprint.
    poison_tracker poison_;
};

} // namespace clementinegap
