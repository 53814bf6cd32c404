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

/// Bounds of the poison book.
struct poison_settings {
    std::size_t max_fingerprints{4096};
    std::uint32_t quarantine_at{2};              ///< Crashes under one fingerprint.
    duration lifetime{std::chrono::minutes(10)}; ///< A suspicion or quarantine ends after this time.
};

/// Which requests are suspected of crashing upstreams. A fingerprint that was running at a crash becomes a
/// suspect, at the second crash it is quarantined. Suspects are run one at a time at an upstream, so that a
/// crash blames one of them; when suspects were running, work that was never suspected is not blamed. A run
/// that ends well clears its fingerprint. All of it is soft state: a daemon that does not know of a suspicion
/// yet runs the request once more.
class poison_book {
public:
    explicit poison_book(poison_settings settings = {}) : settings_(settings) {}

    /// An upstream crashed while it ran these; returns what is to be spread.
    std::vector<soft_state_item> crashed(std::span<const std::string> running, time_point now);
    /// A run ended well; returns what is to be spread if it had been a suspect.
    std::optional<soft_state_item> ended_well(const std::string& fingerprint, time_point now);
    void on_item(const soft_state_item& item, time_point now);

    bool is_suspect(std::string_view fingerprint, time_point now) const;
    bool is_quarantined(std::string_view fingerprint, time_point now) const;
    std::size_t size() const { return counts_.size(); }

private:
    struct suspicion {
        std::uint32_t crashes{0};
        time_point ends_at;
    };

    std::uint32_t crashes_of(std::string_view fingerprint, time_point now) const;
    void raise(const std::string& fingerprint, std::uint32_t crashes, time_point ends_at);
    void forget_ended(time_point now);
    soft_state_item item_of(const std::string& fingerprint, std::uint32_t crashes) const;

    poison_settings settings_;
    std::map<std::string, suspicion, std::less<>> counts_;
};

} // namespace clementinegap
