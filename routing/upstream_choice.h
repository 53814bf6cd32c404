#pragma once

#include "routing/engine_partition.h"
#include "routing/engine_speed.h"
#include "routing/load_tracker.h"
#include "routing/placement_rule.h"
#include "routing/prompt.h"
#include "routing/prompt_cache_view.h"
#include "routing/upstream_backoffs.h"
#include "routing/upstream_health.h"

#include <span>
#include <string>
#include <string_view>

namespace clementinegap {

/// What a choice of an upstream is made from.
struct choice_view {
    const load_tracker& load;
    const upstream_health& health;
    const prompt_cache_view& caches;
    std::string_view zone;                 ///< Of this daemon.
    std::span<const std::string> excluded; ///< Ids that the request was sent to already.
    time_point now;
    bool short_gap{false}; ///< The request itself is of the kind that tolerates the shortest gaps.
    engine_speed speed{};  ///< Of the engines that are chosen from.
    const upstream_backoffs* backoffs{nullptr}; ///< nullptr: no upstream has asked for one.

    bool is_blocked(std::string_view upstream) const
    {
        return backoffs != nullptr && backoffs->is_blocked(upstream, now);
    }
};

/// An upstream for a request, with what is expected there.
struct upstream_choice {
    upstream_ptr upstream; ///< nullptr when none can be used.
    duration expected_wait{0};
    std::uint32_t prefill_tokens{0}; ///< Tokens that the engine reads for this request alone.
    std::uint32_t reread_tokens{0};  ///< Those of them that belong to shared parts.
    upstream_ptr copy_from;          ///< Engine to copy shared parts from; nullptr: none.
    std::uint32_t tokens_ahead{0};   ///< Prompt tokens of other requests that it has to read before.
    std::uint32_t first_read{0};     ///< Tokens of shared parts that it reads for the first of many requests.
};

/// Where the shared parts of a prompt can be copied from, instead of being read again.
struct part_source {
    upstream_ptr engine;      ///< nullptr: nowhere.
    std::uint32_t lacking{0}; ///< Tokens of the shared parts that it does not hold either.
    double tokens_per_ms{0};
};

/// The engine that begins this generation soonest, counting the prompt parts that it would have to read
/// again. Sessions have an owner by rendezvous hashing, which all daemons compute alike; the next in that
/// order takes over while the owner is loaded, failing or gone. An engine that lacks parts copies them from
/// `source`, if there is one.
upstream_choice choose_engine(std::span<const upstream_ptr> engines, const prompt_info& prompt,
                              const choice_view& view, const prompt_affinity& weights,
                              const part_source& source = {});

/// The engine with the least requests in flight; none when each has as many as it has slots.
upstream_choice choose_least_in_flight(std::span<const upstream_ptr> engines, const prompt_info& prompt,
                                       const choice_view& view);

/// The plain upstream with the least work for its slots; one in the own zone is preferred when it is not
/// busier by more than a request.
upstream_choice choose_plain(std::span<const upstream_ptr> upstreams, duration service_time,
                             const choice_view& view);

} // namespace clementinegap
