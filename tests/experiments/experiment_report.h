#pragma once

#include "experiments/experiment_run.h"

#include <string>

namespace clementinegap {

/// The measures of one run as lines of a table; times in milliseconds, "-" for a percentile without an
/// answer.
std::string report(const experiment& about, decision_variant variant, const experiment_measures& measured);

} // namespace clementinegap
