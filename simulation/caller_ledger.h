#pragma once

#include "simulation/simulation_result.h"
#include "simulation/workload.h"

#include <cstdint>
#include <span>
#include <vector>

namespace clementinegap {

/// What simulated callers have seen of their calls so far, and the sums of it at the end.
class caller_ledger {
public:
    caller_ledger(const simulation_plan& plan, std::span<const simulated_call> calls);

    /// An event of the answer reached the caller. \param since_start of the run.
    void event(std::size_t call, duration since_start);
    void completed(std::size_t call);

    void returned(std::size_t call) { states_[call].returned = true; }
    void refused(std::size_t call) { states_[call].outcome = ending::refused; }

    /// The sums by kind; calls that have not ended count as failed.
    std::vector<kind_result> results() const;

private:
    enum class ending : std::uint8_t { none, completed, refused };

    struct state {
        ending outcome{ending::none};
        bool returned{false};
        bool has_event{false};
        duration first_event{0};
        duration last_event{0};
        duration longest_gap{0};
    };

    double weight_of(std::size_t call) const;

    const simulation_plan& plan_;
    std::span<const simulated_call> calls_;
    std::vector<state> states_;
    std::vector<double> mean_sizes_; ///< By kind.
};

} // namespace clementinegap
