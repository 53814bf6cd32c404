#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace clementinegap {

/// What the callers of one kind got.
struct kind_result {
    /// Of one second of the run.
    struct second {
        std::uint32_t offered{0};
        std::uint32_t on_time{0};
    };

    std::string name;
    std::uint32_t offered{0};
    std::uint32_t on_time{0};
    std::uint32_t late{0};                ///< Complete, after the objective or with too long a pause.
    std::uint32_t refused{0};             ///< Never run.
    std::uint32_t failed{0};              ///< Broken off, or no answer by the deadline.
    std::uint32_t returned{0};            ///< Told to come back once and came.
    std::uint32_t returned_and_served{0}; ///< Of those, complete in the end.
    double worth{0};
    double worth_owed{0};
    std::vector<duration> first_events; ///< From the first attempt, of complete answers.
    std::vector<second> seconds;
};

/// One run of a plan under one placement.
struct simulation_result {
    std::string placement;
    std::uint64_t seed{0};
    std::vector<kind_result> kinds;
    std::uint64_t tokens_read{0};   ///< Prompt tokens, by all engines.
    std::uint64_t tokens_reread{0}; ///< Of shared parts, beyond the first time that any engine read them.
    std::uint64_t preemptions{0};
    /// Those of them while a less urgent request, by the priorities of workspace and route, ran on there.
    std::uint64_t inverted_preemptions{0};

    /// Share of what all requests are worth that callers got.
    double worth_share() const;
};

} // namespace clementinegap
