#pragma once

#include "experiment/load_experiment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinegap {

/// One arrival of a load experiment.
struct load_arrival {
    duration at{0};
    std::size_t class_index{0};
    std::size_t workspace_index{0};
    std::uint32_t tokens{1};
    bool poisoned{false};
    bool operator==(const load_arrival&) const = default;
};

/// The arrivals of an experiment in the order of their times: a Poisson stream for each class and workspace
/// whose rate follows the swings, with log-normal output lengths. The same seed gives the same plan.
std::vector<load_arrival> plan_arrivals(const load_experiment& experiment);

} // namespace clementinegap
