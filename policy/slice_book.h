#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace clementinegap {

/// A run that holds a slot, as the slice rules see it.
struct sliced_run {
    std::uint64_t id{0};
    std::uint8_t tier{0};
    std::uint32_t quantum_tokens{0};
    bool pausable{true};    ///< Plain services cannot be paused.
    bool protected_{false}; ///< A starving class's slice: it ends by its quantum only.
};

/// Which running work yields its slot. A run of a lower tier yields to any work above it; a run that has used
/// up its quantum yields to work of its own tier too. Every operation takes logarithmic time.
class slice_book {
public:
    void begin(const sliced_run& run);
    void produced(std::uint64_t id, std::uint32_t tokens);
    void end(std::uint64_t id);
    /// The run that yields to waiting work of `tier`; the lowest tier, and in it the longest slice first.
    std::optional<std::uint64_t> victim(std::uint8_t tier) const;
    /// The lowest tier of the runs that yield to a tier above them.
    std::optional<std::uint8_t> lowest_yielding() const;
    /// Slots held by slices of starving classes.
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
    std::set<rank> yielding_; ///< Runs that yield to a tier above.
    std::set<rank> spent_;    ///< Runs that yield to their own tier too.
    std::set<std::uint64_t> protected_;
};

} // namespace clementinegap
