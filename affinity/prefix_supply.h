#pragma once

#include "core/time.h"

#include <cstdint>

namespace clementinegap {

/// The cached parts of a prompt's beginning that an engine lacks, and what it takes to bring them there.
struct missing_prefix {
    std::uint32_t tokens{0};  ///< Tokens that the engine lacks.
    std::uint32_t running{0}; ///< Requests at the engine, which produce tokens more slowly while it reads.
    double read_tokens_per_ms{1}; ///< Rate at which the engine reads prompt tokens.
    /// Tokens of them that the best engine to copy from lacks too.
    std::uint32_t lacking_at_source{0};
    double copied_tokens_per_ms{0}; ///< Rate of a copy from there; 0: there is none.
};

/// What reading and copying cost beyond the caller's own wait.
struct prefix_weights {
    /// Weight of the reading time at an idle engine: the parts that are read evict others from its cache.
    double reread_weight{4.0};
    /// Added to it for each request that runs at the engine.
    double delay_share{0.5};
    /// Weight of the reading time that a copy saves: a copy evicts other parts from the engine's cache and
    /// uses the links of both engines, so it must save a significant amount of time.
    double copy_weight{1.0};
};

/// How an engine gets the parts that it lacks, and what this costs the caller and the other requests there.
struct prefix_supply {
    duration cost{0};
    std::uint32_t read{0}; ///< Tokens that the engine reads; the others are copied.
    bool copies{false};
};

/// Load: requests share the beginnings of their prompts, and the engines that have them cached are busy while
/// others are idle.
///
/// Weighs a copy from another engine against reading the parts again. Reading delays the caller and all
/// requests that run at the engine meanwhile, so that it costs far more at a busy engine than at an idle one.
/// The result is comparable with the wait at an engine that has the parts.
prefix_supply cheapest_prefix_supply(const missing_prefix& prefix, const prefix_weights& weights = {});

} // namespace clementinegap
