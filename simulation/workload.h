#pragma once

#include "routing/prompt.h"
#include "simulation/simulation_plan.h"

#include <cstdint>
#include <vector>

namespace clementinegap {

/// One request of a simulated caller.
struct simulated_call {
    duration at{0};
    std::size_t kind{0};
    std::size_t router{0}; ///< That the caller reaches first.
    std::size_t workspace{0};
    prompt_info prompt;
    std::uint32_t output_tokens{1};
};

/// The calls of a plan in the order of their times. The load follows a wave and the swells; calls come in
/// clumps; prompts share parts level by level. The same plan and seed give the same calls.
std::vector<simulated_call> calls_of(const simulation_plan& plan, std::uint64_t seed);

} // namespace clementinegap
