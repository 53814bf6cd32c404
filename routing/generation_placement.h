#pragma once

#include "routing/demand_meter.h"
#include "routing/engine_partition.h"
#include "routing/engine_speed.h"
#include "routing/generation_time_estimate.h"
#include "routing/placement_rule.h"
#include "routing/prompt_cache_view.h"
#include "routing/routed_request.h"
#include "routing/upstream_choice.h"
#include "routing/upstream_directory.h"
#include "routing/urgency_scale.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Places generations on engines. It partitions the engines of each service by the token gap that streams
/// tolerate, tracks the engines' prompt caches and speed, and chooses the engine for each request. This
/// handles long prompts beside streams with short gaps, hot sessions, and more work than can complete in
/// time.
class generation_placement {
public:
    /// \param assumed speed of engines without measurements.
    explicit generation_placement(placement_rule rule = prompt_affinity{}, engine_speed assumed = {})
        : rule_(rule), assumed_speed_(assumed)
    {
    }

    /// Every kind of stream in the configuration gets engines before any demand is measured.
    void set_configuration(const route_table& table);
    /// Recomputes the partitions.
    /// \param demands_of_others as reported by the other daemons.
    void update(const route_table& table, const upstream_directory& directory,
                std::vector<stream_demand> demands_of_others, time_point now);

    /// Time that a stream of this route tolerates for one token.
    static duration step_tolerance(const route& matched_route, const service* target);
    /// Whether the request belongs to the kind of stream with the shortest tolerated gap, and some kind
    /// tolerates longer gaps.
    bool has_shortest_gap(const routed_request& request) const
    {
        return shortest_gap_ && request.step_tolerance <= *shortest_gap_;
    }
    void count_demand(const routed_request& request, time_point now);

    upstream_choice choose(const routed_request& request, const choice_view& view) const;
    /// Expected time to the first event at the chosen engine: its queue and the prefill.
    duration expected_start(const routed_request& request, const upstream_choice& choice) const;
    /// Expected time to the end of the request at the chosen engine.
    duration time_needed(const routed_request& request, const upstream_choice& choice) const;
    /// The current estimate for the engines of a service.
    engine_speed speed(std::string_view service) const;
    /// The estimates for all services, for a load report. Most calls return nothing, because the speed
    /// changes slowly.
    std::vector<service_speed> take_speeds();
    void merge_speeds(std::span<const service_speed> speeds);
    /// Urgency for the engine; see `urgency_scale`.
    std::uint8_t urgency(const routed_request& request, std::uint32_t prefill_tokens) const;

    void sent(const routed_request& request, time_point now);
    void first_event(const routed_request& request, time_point now);
    /// The engine did not run the request, so it has read nothing of the prompt.
    void not_run(const routed_request& request, time_point now);
    void ended_well(const routed_request& request, time_point now);
    void placed_by_other(std::span<const part_placement> placements, time_point now);
    void engine_process_ended(std::string_view upstream) { caches_.forget(upstream); }
    void expire(time_point now) { caches_.expire(now); }

    std::vector<stream_demand> demands(time_point now) { return demand_.demands(now); }
    /// Placements since the last call, limited to what fits in a report.
    std::vector<part_placement> take_placements();
    void memory_used_by_others(std::span<const memory_use> uses, time_point now);
    /// What this daemon's requests used since the last calls, limited to what fits in a report.
    std::vector<memory_use> take_memory_uses();
    const prompt_cache_view& caches() const { return caches_; }
    /// nullptr for a service without engines.
    const engine_partition* partition(std::string_view service) const;

private:
    upstream_choice choose_by(const prompt_affinity& weights, const routed_request& request,
                              const choice_view& view) const;
    upstream_choice choose_by(const least_in_flight& rule, const routed_request& request,
                              const choice_view& view) const;

    /// Time of a step in which an engine reads a chunk of a prompt beside its streams.
    duration chunk_step(std::string_view service) const;
    engine_speed_estimate& estimate(const std::string& service);
    /// An engine from which the shared parts of the prompt can be copied.
    part_source source_of(const routed_request& request, const choice_view& view) const;

    placement_rule rule_;
    engine_speed assumed_speed_;
    std::map<std::string, engine_speed_estimate, std::less<>> speeds_; ///< By service.
    std::uint64_t reports_{0};
    demand_meter demand_;
    generation_time_estimate generation_times_;
    prompt_cache_view caches_;
    std::vector<stream_demand> configured_kinds_;
    /// Shortest step tolerance of any kind; nothing if all kinds are equal.
    std::optional<duration> shortest_gap_;
    std::vector<part_placement> unreported_;
    std::map<std::string, std::uint32_t> unreported_memory_; ///< Tokens by engine.
    std::map<std::string, engine_partition, std::less<>> partitions_;
    std::map<std::string, urgency_scale, std::less<>> urgency_scales_; ///< By service.
};

} // namespace clementinegap
