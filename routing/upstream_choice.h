#pragma once

#include "routing/connection_view.h"
#include "routing/engine_partition.h"
#include "routing/engine_speed.h"
#include "routing/load_tracker.h"
#include "routing/placement_rule.h"
#include "routing/prompt.h"
#include "routing/prompt_cache_view.h"
#include "routing/send_gate.h"
#include "routing/software_versions.h"
#include "routing/upstream_health.h"

#include <span>
#include <string>
#include <string_view>

namespace clementinegap {

/// Inputs for choosing an upstream.
struct choice_view {
    const load_tracker& load;
    const upstream_health& health;
    const prompt_cache_view& caches;
    std::string_view zone;                 ///< Of this daemon.
    std::span<const std::string> excluded; ///< Ids of upstreams that the request was already sent to.
    time_point now;
    bool short_gap{false};          ///< Whether the request is of the kind that tolerates the shortest gaps.
    engine_speed speed{};           ///< Of the candidate engines.
    const send_gate* gate{nullptr}; ///< nullptr: no upstream is blocked.
    /// Origin of the stream that the request continues; nullptr: it begins one, or is no stream.
    const stream_origin* origin{nullptr};
    const software_versions* versions{nullptr}; ///< Not nullptr with an origin.
    /// Whether the request may run only once, so that it ends if an upstream loses it.
    bool runs_once{false};
    duration objective_left{0};                  ///< Time in which the request should end.
    const connection_view* connections{nullptr}; ///< nullptr: not known.

    bool needs_connection(const upstream_record& upstream) const
    {
        return connections != nullptr && !connections->has_idle_connection(upstream, now);
    }

    bool is_blocked(std::string_view upstream) const
    {
        return gate != nullptr && gate->is_blocked(upstream, now);
    }
    bool can_continue_at(const upstream_record& upstream) const
    {
        return origin == nullptr || versions->can_continue(upstream, *origin, now);
    }
    bool may_copy_from(std::string_view upstream) const
    {
        return gate == nullptr || gate->may_copy_from(upstream, now);
    }
};

/// The chosen upstream for a request and what is expected there.
struct upstream_choice {
    upstream_ptr upstream; ///< nullptr if none can be used.
    duration expected_wait{0};
    std::uint32_t prefill_tokens{0}; ///< Prompt tokens that the engine reads for this request alone.
    std::uint32_t reread_tokens{0};  ///< Those of them that belong to shared parts.
    upstream_ptr copy_from;          ///< Engine to copy shared parts from; nullptr: none.
    std::uint32_t tokens_ahead{0};   ///< Prompt tokens of other requests that the engine reads first.
    /// Tokens of shared parts that it reads on behalf of this and later requests.
    std::uint32_t first_read{0};
};

/// An engine from which shared parts of a prompt can be copied instead of being read again.
struct part_source {
    upstream_ptr engine;      ///< nullptr: none.
    std::uint32_t lacking{0}; ///< Tokens of the shared parts that this engine lacks too.
    double tokens_per_ms{0};
};

/// Chooses the engine with the lowest cost for this generation, including the prompt parts that it would have
/// to read again. Sessions have an owner by rendezvous hashing, which all daemons compute alike; the next
/// engine in that order takes over if the owner is loaded, failing or removed. An engine that lacks parts
/// copies them from `source`, if there is one.
upstream_choice choose_engine(std::span<const upstream_ptr> engines, const prompt_info& prompt,
                              const choice_view& view, const prompt_affinity& weights,
                              const part_source& source = {});

/// Chooses the engine with the fewest requests in flight; none if all slots of all engines are in use.
upstream_choice choose_least_in_flight(std::span<const upstream_ptr> engines, const prompt_info& prompt,
                                       const choice_view& view);

/// Chooses the plain upstream with the least load per slot. An upstream in the own zone is preferred if it
/// has at most one request more. A request that may run only once gets an upstream that loses requests only
/// if no other can take it within its objective; those that may be repeated show when such an upstream
/// recovers.
upstream_choice choose_plain(std::span<const upstream_ptr> upstreams, duration service_time,
                             const choice_view& view);

} // namespace clementinegap
