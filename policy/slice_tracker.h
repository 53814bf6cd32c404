#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace clementinegap {

/// A run that holds a slot, with the properties that decide on its preemption.
struct sliced_run {
    std::uint64_t id{0};
    std::uint8_t tier{0};
    std::uint32_t quantum_tokens{0};
    bool pausable{true};    ///< Plain services cannot be paused.
    bool protected_{false}; ///< A starvation slot: preemptible only after its quantum.
};

/// Tracks the time slices of runs and selects the run to preempt. A run is preemptible by work of any higher
/// tier; a run that has used up its quantum also by work of its own tier. Every operation takes logarithmic
/// time.
class slice_tracker {
public:
    void begin(const sliced_run& run);
    void produced(std::uint64_t id, std::uint32_t tokens);
    void end(std::uint64_t id);
    /// \returns the run that waiting work of `tier` preempts: of the lowest tier, and there the longest
    /// slice.
    std::optional<std::uint64_t> victim(std::uint8_t tier) const;
    /// \returns the lowest tier of the runs that a higher tier may preempt.
    std::optional<std::uint8_t> lowest_preemptible_tier() const;
    /// \returns the number of slots granted to starving classes.
    std::size_t protected_count() const { return protected_.size(); }

private:
    struct state {
        sliced_run run;
        std::uint32_t tokens{0};
        bool spent() const { return tokens >= run.quantum_tokens; }
    };
    using rank = std::tuple<std::uint8_t, std::uint32_t, std::uint64_t>;

    static rank rank_of(const state& value) { return {value.run.tier, value.tokens, value.run.id}; }
    bool yields(const state& value) const;

    std::map<std::uint64_t, state> runs_;
    std::set<rank> yielding_; ///< Runs that a higher tier may preempt.
    std::set<rank> spent_;    ///< Runs that their own tier may preempt.
    std::set<std::uint64_t> protected_;
};

} // namespace clementinegap
