#pragma once

#include "policy/poison.h"
#include "routing/suspicion_record.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// One start of an upstream.
struct upstream_process {
    std::string upstream;
    std::int64_t incarnation{0};
    auto operator<=>(const upstream_process&) const = default;
};

/// Detects requests that crash upstreams. A lost response alone is no evidence: the sends that a process lost
/// last are blamed once its end is known, in whatever way. With little traffic that may be only when its
/// entry is removed from the directory. A request that completed successfully within `trust_window` is not
/// blamed, because a popular request is in flight at nearly every crash, in every daemon, while a request
/// that crashes upstreams does not complete.
class crash_watch {
public:
    /// Records that a send was lost with its connection.
    void send_lost(const upstream_process& at, const std::string& fingerprint, time_point now);
    /// This process has ended. \param by the end was known then; later losses have another cause.
    /// \returns the soft state to publish to the other daemons.
    std::vector<soft_state_item> process_ended(const upstream_process& ended, time_point by, time_point now);
    /// This process has ended for certain: also sends whose loss is noticed later are blamed, see
    /// `noticed_late`.
    void remember_end(const upstream_process& ended, time_point now);
    /// The processes whose end was remembered and at which sends were lost since, all of which have been
    /// noticed by now.
    std::vector<upstream_process> noticed_late(time_point now) const;
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
    /// The end of a process is not attributed to a loss that is older than this. A directory removes an entry
    /// after several heartbeats.
    static constexpr duration blame_window = seconds(15);
    /// Sends that are lost with their process are noticed within this time of each other; a hang-up of its VM
    /// takes the longest.
    static constexpr duration loss_spread = seconds(3);
    /// Losses that are noticed late are blamed together.
    static constexpr duration late_loss_delay = milliseconds(250);
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
    std::map<upstream_process, std::vector<loss>> losses_;        ///< In the order of time.
    std::map<upstream_process, time_point> ends_;                 ///< Remembered ones, with the time.
    std::unordered_map<std::uint64_t, time_point> ended_well_at_; ///< Keyed by a hash of the fingerprint.
    poison_tracker poison_;
};

} // namespace clementinegap
