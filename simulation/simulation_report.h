#pragma once

#include "core/checked_json.h"
#include "simulation/simulation_result.h"

#include <span>
#include <string>
#include <string_view>

namespace clementinegap {

/// What callers got, a row for each placement and kind, over all seeds; then the placements from the best to
/// the worst, with the spread over the seeds.
std::string simulation_table(std::string_view name, std::span<const simulation_result> results);

/// The same figures for each run.
json simulation_json(std::string_view name, std::span<const simulation_result> results);

/// A gnuplot script that draws the requests on time over the run and the distribution of times to the first
/// event, by placement and kind, into one SVG file; its data are inline.
std::string simulation_plot(std::string_view name, std::span<const simulation_result> results,
                            std::string_view svg_file);

} // namespace clementinegap
