#pragma once

#include "core/time.h"
#include "routing/prompt.h"

#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// A prompt part that was sent to an engine and is cached there from then on.
struct part_placement {
    std::string upstream;
    std::uint64_t part{0};
    std::uint32_t tokens{0};
    duration ready_in{0}; ///< Time until the engine has probably read it.
    bool operator==(const part_placement&) const = default;
};

/// Tokens that requests brought into an engine's memory and that no other request shares: the ends of their
/// prompts, and their outputs.
struct memory_use {
    std::string upstream;
    std::uint32_t tokens{0};
    bool operator==(const memory_use&) const = default;
};

/// Estimates the contents of the engines' prompt caches from the placements of all daemons: the parts that
/// were sent to an engine, with LRU eviction. No reports of the engines are needed, which arrive late and
/// with gaps. A wrong estimate costs reading a part again.
class prompt_cache_view {
public:
    /// \param tokens of an engine's memory, which running requests and cached parts share.
    void set_capacity(std::uint64_t tokens) { capacity_ = tokens; }

    void placed(const part_placement& placement, time_point now);
    /// An engine keeps these tokens like any shared part until it evicts them.
    void used(const memory_use& use, time_point now);
    /// The engine has read these parts.
    void was_read(std::string_view upstream, std::span<const prompt_part> parts, time_point now);
    /// Removes those of the parts that the engine has not read yet.
    void forget_unread(std::string_view upstream, std::span<const prompt_part> parts, time_point now);
    /// The process of this engine has ended, which clears its cache.
    void forget(std::string_view upstream);
    /// Tokens of the shared parts of `prompt` that this engine would have to read: all parts from the first
    /// one that is not cached.
    std::uint32_t missing_tokens(std::string_view upstream, const prompt_info& prompt, time_point now) const;
    /// Engines that have already read shared parts of `prompt` from its beginning; only those with the
    /// longest cached prefix.
    std::vector<std::string> holders(const prompt_info& prompt, time_point now) const;
    /// Removes engines that have received nothing for `entry_lifetime`.
    void expire(time_point now);

private:
    /// Tokens that no other request shares are recorded together if they were used within this time.
    static constexpr duration unshared_interval = milliseconds(250);
    /// A part that was not used for this long may have been evicted in favour of running requests.
    static constexpr duration entry_lifetime = seconds(40);
    static constexpr std::uint64_t default_capacity = 100000;

    /// Whether the engine has these parts cached and has had the time to read them.
    bool has_read(std::string_view upstream, std::span<const prompt_part> parts, time_point now) const;

    struct held_part {
        std::optional<std::uint64_t> part; ///< Nothing: tokens that no other request shares.
        std::uint32_t tokens{0};
        time_point used;
        time_point read_at; ///< When the engine has probably read it.
    };
    struct engine_cache {
        std::list<held_part> recent; ///< Most recently used first.
        std::unordered_map<std::uint64_t, std::list<held_part>::iterator> by_part;
        std::uint64_t tokens{0};
    };

    /// The part if it is probably still cached; nullptr otherwise.
    static const held_part* find_held(const engine_cache& cache, std::uint64_t part, time_point now);
    void forget_holder(std::uint64_t part, const std::string& upstream);
    /// Evicts the least recently used parts of an engine that exceeds its memory.
    void evict(engine_cache& cache, const std::string& upstream);

    std::uint64_t capacity_{default_capacity};
    std::unordered_map<std::uint64_t, std::vector<std::string>> holders_; ///< Engines by part.
    std::unordered_map<std::string, engine_cache> engines_;
};

} // namespace clementinegap
