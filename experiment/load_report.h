#pragma once

#include "core/checked_json.h"

#include <span>
#include <string>

namespace clementinegap {

/// The runs of one experiment side by side, a row for each class and run.
std::string report_table(const json& experiment_result);

/// A gnuplot script that draws the attainment over time and the distribution of first-token times of every
/// class into one SVG file, with its data inline.
std::string plot_script(const json& experiment_result, const std::string& svg_file);

} // namespace clementinegap
