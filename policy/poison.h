#pragma once

#include "core/soft_state.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Limits of a `poison_tracker`.
struct poison_settings {
    std::size_t max_fingerprints{4096};
    std::uint32_t quarantine_threshold{2};       ///< Crashes of one fingerprint.
    duration lifetime{std::chrono::minutes(10)}; ///< Of a suspicion or quarantine.
};

/// Tracks requests that are suspected of crashing upstreams. A fingerprint that was running at a crash
/// becomes a suspect; at the second crash it is quarantined. An upstream runs at most one suspect at a time,
/// so that a crash can be attributed to it; if a suspect was running, other requests are not suspected. A
/// successful run clears its fingerprint. This is soft state: a daemon that has not received a suspicion yet
/// runs the request once more.
class poison_tracker {
public:
    explicit poison_tracker(poison_settings settings = {}) : settings_(settings) {}

    /// Records that an upstream crashed while it ran these fingerprints.
    /// \returns the items to publish to other daemons.
    std::vector<soft_state_item> on_crash(std::span<const std::string> running, time_point now);
    /// Records a successful run.
    /// \returns the item to publish if the fingerprint was a suspect.
    std::optional<soft_state_item> on_success(const std::string& fingerprint, time_point now);
    void soft_state_received(const soft_state_item& item, time_point now);
    /// A suspicion that outlived the process that had it. \param age time since the last crash.
    void restore(const std::string& fingerprint, std::uint32_t crashes, duration age, time_point now);
    /// The suspicion of a fingerprint, as an item to publish; nothing if there is none in force.
    std::optional<soft_state_item> item_of(std::string_view fingerprint, time_point now) const;
    /// How many crashes an item tells of, 0 if it withdraws a suspicion; nothing for another kind of item, or
    /// an unreadable one.
    static std::optional<std::uint32_t> crashes_in(const soft_state_item& item);

    bool is_suspect(std::string_view fingerprint, time_point now) const;
    bool is_quarantined(std::string_view fingerprint, time_point now) const;
    std::size_t size() const { return suspicions_.size(); }

private:
    struct suspicion {
        std::uint32_t crashes{0};
        time_point expires_at;
    };

    std::uint32_t crashes_of(std::string_view fingerprint, time_point now) const;
    void record_crashes(const std::string& fingerprint, std::uint32_t crashes, time_point expires_at);
    void remove_expired(time_point now);
    soft_state_item make_item(const std::string& fingerprint, std::uint32_t crashes) const;

    poison_settings settings_;
    std::map<std::string, suspicion, std::less<>> suspicions_;
};

} // namespace clementinegap
