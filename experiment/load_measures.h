#pragma once

#include "core/checked_json.h"
#include "experiment/load_experiment.h"
#include "experiment/load_plan.h"
#include "experiment/load_result.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace clementinegap {

/// The figures of one class in one run.
struct class_measures {
    std::string name;
    std::size_t offered{0};
    std::size_t complete{0};
    std::size_t attained{0}; ///< Complete, with the first token in time.
    std::size_t crest_offered{0};
    std::size_t crest_attained{0};
    std::uint64_t useful_tokens{0};          ///< Of attained requests.
    std::uint64_t complete_tokens{0};        ///< Of complete requests.
    std::map<std::uint16_t, int> failures;   ///< By numbered code; 0: no answer or one without a code.
    std::vector<duration> first_token;       ///< Sorted; of complete requests.
    std::vector<std::pair<int, int>> series; ///< By second of arrival: offered, attained.
};

/// The figures of one run.
struct run_measures {
    std::string label;
    std::vector<class_measures> classes;
    double goodput{0}; ///< Useful tokens a second of the run.
    std::uint64_t produced_tokens{0};

    /// Share of the produced tokens that were not part of a complete answer; those of answers to requests
    /// that carry no tokens, such as services, are in neither.
    double wasted_share() const;
};

/// Takes the figures of one run. The poisoned requests are left out.
run_measures measure(const load_experiment& experiment, std::span<const load_arrival> plan,
                     std::span<const load_result> results, std::uint64_t produced_tokens, std::string label);

json to_json(const run_measures& value);

} // namespace clementinegap
