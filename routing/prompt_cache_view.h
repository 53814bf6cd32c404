#pragma once

#include "core/time.h"
#include "routing/prompt.h"

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// A prompt part that was sent to an engine, which holds it from then on.
struct part_placement {
    std::string upstream;
    std::uint64_t part{0};
    std::uint32_t tokens{0};
    duration ready_in{0}; ///< Until the engine has probably read it.
    bool operator==(const part_placement&) const = default;
};

/// What the engines' prompt caches are believed to hold, from the placements of all daemons: the parts that
/// were sent to an engine, the least recently used of which yield. A guess that needs no report of the
/// engines, which come late and with gaps; a wrong one costs a part that is read again.
class prompt_cache_view {
public:
    /// \param part_tokens the most tokens of parts that are believed to be held by one engine.
    void set_capacity(std::uint64_t part_tokens) { capacity_ = part_tokens; }

    void placed(const part_placement& placement, time_point now);
    /// The engine has read these parts.
    void was_read(std::string_view upstream, std::span<const prompt_part> parts, time_point now);
    /// Forgets those of the parts that the engine has not read yet.
    void forget_unread(std::string_view upstream, std::span<const prompt_part> parts, time_point now);
    /// The process of this engine is gone, and its cache with it.
    void forget(std::string_view upstream);
    /// Tokens of the shared parts of `prompt` that this engine would have to read: all from the first that it
    /// does not hold.
    std::uint32_t missing_tokens(std::string_view upstream, const prompt_info& prompt, time_point now) const;
    /// Engines that hold shared parts of `prompt` from its beginning on and have had the time to read them;
    /// only those that hold the most of them.
    std::vector<std::string> holders(const prompt_info& prompt, time_point now) const;
    /// Drops engines that got nothing for a while.
    void expire(time_point now);

private:
    /// A part that was not used for this long may have yielded to running requests.
    static constexpr duration entry_lifetime = seconds(40);
    static constexpr std::uint64_t default_capacity = 100000;

    /// Whether the engine holds these parts and has had the time to read them.
    bool has_read(std::string_view upstream, std::span<const prompt_part> parts, time_point now) const;

    struct held_part {
        std::uint64_t part{0};
        std::uint32_t tokens{0};
        time_point used;
        time_point read_at; ///< When the engine has probably read it.
    };
    struct engine_cache {
        std::list<held_part> recent; ///< The last used first.
        std::unordered_map<std::uint64_t, std::list<held_part>::iterator> by_part;
        std::uint64_t tokens{0};
    };

    /// The part that the engine is believed to hold still; nullptr without one.
    static const held_part* find_held(const engine_cache& cache, std::uint64_t part, time_point now);
    void forget_holder(std::uint64_t part, const std::string& upstream);

    std::uint64_t capacity_{default_capacity};
    std::unordered_map<std::uint64_t, std::vector<std::string>> holders_; ///< Engines, by part.
    std::unordered_map<std::string, engine_cache> engines_;
};

} // namespace clementinegap
