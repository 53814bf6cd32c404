#pragma once

#include "experiments/experiment.h"

#include <vector>

/// \file
/// The experiments of the catalogue, shaped on the two deployments of the brief.

namespace clementinegap {

/// The cutting-guide deployment: four entries, four zones; demand 1 is about 60% of capacity.
experiment lanyu();
/// The plaque-desk deployment: three entries, three zones.
experiment cartago();

experiment calm();
experiment crest();
experiment one_class_bursts();
experiment one_workspace_bursts();
experiment long_among_short();
experiment slowed_upstreams();
experiment upstream_crashes();
experiment poisoned_request();
experiment store_down();
experiment rolling_replacement();
experiment top_tier_overload();

std::vector<experiment> all_experiments();

} // namespace clementinegap
