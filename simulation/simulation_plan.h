#pragma once

#include "core/checked_json.h"
#include "core/outcome.h"
#include "routing/placement_rule.h"
#include "routing/route_table.h"
#include "simulation/engine_figures.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The description of a simulated deployment and its load, read from a file: JSON with comments.

namespace clementinegap {

/// A log-normal size with a bound.
struct size_distribution {
    double mean{1};
    double sigma{0}; ///< Of the logarithm.
    double most{1};
};

/// One level of a shared prompt: a number of parts, one of which begins each prompt.
struct shared_level {
    std::uint32_t parts{1};
    size_distribution tokens;
};

/// A kind of generation that callers ask for.
struct generation_kind {
    std::string name;
    double requests_per_second{1};
    std::uint8_t priority{0}; ///< 0 is the most urgent.
    duration objective{seconds(1)};
    duration max_gap{0};
    duration deadline{seconds(10)};
    bool resumable{false};
    double worth{1};
    double late_worth{0};
    std::vector<shared_level> levels; ///< From the beginning of the prompt; the last one is the session.
    double session_skew{0.3};         ///< Exponent of the sessions' popularity; 0: all alike.
    size_distribution prompt_tokens;  ///< Of the request's own part.
    size_distribution events;         ///< Of its answer.
    double hint_sigma{0.5};           ///< Error of the caller's estimate of the length, of the logarithm.
};

/// Multiplies the load of one kind, or of all with an empty name, for a while.
struct load_swell {
    std::string kind;
    duration from{0};
    duration to{0};
    double factor{1};
};

/// Engines that lose their process for a while.
struct engine_outage {
    duration at{0};
    duration lasts{seconds(2)};
    std::size_t engines{1};
};

/// A placement that is tried, with its name in the report.
struct tried_placement {
    std::string name;
    placement_rule rule;
};

struct simulation_plan {
    std::string name;
    std::uint64_t seed{1};
    duration run{seconds(30)};
    std::size_t zones{1};
    std::size_t routers{4};
    std::size_t engines{12};
    engine_figures engine;
    duration between_zones{microseconds(1400)};
    duration to_callers{milliseconds(1)};
    duration report_interval{milliseconds(100)};
    double wave_swing{0.5}; ///< Of the load, as a share; 0: steady.
    duration wave_period{seconds(13)};
    double clump{3}; ///< Mean number of requests that arrive together.
    /// Priorities of the workspaces, to which the calls belong in equal shares; empty: there are none.
    std::vector<std::uint8_t> workspace_priorities;
    std::vector<generation_kind> kinds;
    std::vector<load_swell> swells;
    std::vector<engine_outage> outages;
    std::vector<tried_placement> placements;
};

/// Reads and checks a whole plan; `invalid_settings` with every fault, one a line.
outcome<simulation_plan> simulation_plan_from_text(std::string_view text);

} // namespace clementinegap
