#pragma once

#include "experiments/experiment.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace clementinegap {

/// Which decisions an experiment runs under.
enum class decision_variant : std::uint8_t {
    product,
    naive ///< One queue in order of arrival, one upstream at random, retry on error at once.
};

/// What one class got.
struct class_measures {
    int sent{0};
    int attained{0}; ///< Whole answer, first token and pace within the class's targets.
    int succeeded{0};
    int failed{0};
    int unanswered{0};
    std::map<std::string, int> codes; ///< Failures by code.
    std::vector<duration> first_tokens;
    duration longest_unserved{0}; ///< While requests arrive: no token reached a caller though one waited.
    std::map<std::string, std::pair<int, int>> by_workspace; ///< Attained and sent.

    double attainment() const;
    double attainment_without(const std::string& workspace) const;
    /// A percentile in [0, 1] of the first-token times; a request without a token counts as `never`.
    duration percentile(double share) const;
};

/// The measures of one run.
struct experiment_measures {
    std::map<std::string, class_measures> classes;
    std::uint64_t produced{0}; ///< Tokens by all engines.
    std::uint64_t received{0}; ///< Tokens that reached a caller.
    double goodput{0};         ///< Tokens a second in the window that reached callers.
    double engine_use{0};      ///< Share of the engines' slot time in the window that made received tokens.
    double wasted() const;
};

experiment_measures run_experiment(const experiment& about, decision_variant variant);

} // namespace clementinegap
