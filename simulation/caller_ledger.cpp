#include "simulation/caller_ledger.h"

#include <algorithm>

namespace clementinegap {
namespace {

/// A token that is produced costs an engine about as much as so many that are read.
constexpr double output_weight = 10;
/// What the smallest request is worth against the mean one of its kind; the rest follows its size.
constexpr double least_worth_share = 0.3;
constexpr double most_worth_share = 4;

double size_of(const simulated_call& call)
{
    return call.prompt.tokens_in + output_weight * call.output_tokens;
}

} // namespace

caller_ledger::caller_ledger(const simulation_plan& plan, std::span<const simulated_call> calls)
    : plan_(plan), calls_(calls), states_(calls.size()), mean_sizes_(plan.kinds.size(), 0)
{
    std::vector<double> counts(plan.kinds.size(), 0);
    for (const auto& call : calls) {
        mean_sizes_[call.kind] += size_of(call);
        ++counts[call.kind];
    }
    for (std::size_t i = 0; i < counts.size(); ++i) {
        mean_sizes_[i] /= std::max(1.0, counts[i]);
    }
}

void caller_ledger::event(std::size_t call, duration since_start)
{
    auto& state = states_[call];
    if (!state.has_event) {
        state.has_event = true;
        state.first_event = since_start - calls_[call].at;
    } else {
        state.longest_gap = std::max(state.longest_gap, since_start - state.last_event);
    }
    state.last_event = since_start;
}

void caller_ledger::completed(std::size_t call)
{
    states_[call].outcome = ending::completed;
}

double caller_ledger::weight_of(std::size_t call) const
{
    const auto& about = calls_[call];
    const double relative = size_of(about) / mean_sizes_[about.kind];
    return std::min(most_worth_share, least_worth_share + (1 - least_worth_share) * relative);
}

std::vector<kind_result> caller_ledger::results() const
{
    std::vector<kind_result> results(plan_.kinds.size());
    for (std::size_t i = 0; i < results.size(); ++i) {
        results[i].name = plan_.kinds[i].name;
        results[i].seconds.resize(static_cast<std::size_t>(plan_.run / seconds(1)) + 1);
    }
    for (std::size_t i = 0; i < calls_.size(); ++i) {
        const auto& kind = plan_.kinds[calls_[i].kind];
        const auto& state = states_[i];
        auto& result = results[calls_[i].kind];
        const auto second = std::min<std::size_t>(result.seconds.size() - 1,
                                                  static_cast<std::size_t>(calls_[i].at / seconds(1)));
        ++result.offered;
        ++result.seconds[second].offered;
        result.worth_owed += kind.worth * weight_of(i);
        result.returned += state.returned ? 1 : 0;
        if (state.outcome == ending::refused) {
            ++result.refused;
            continue;
        }
        if (state.outcome == ending::none) {
            ++result.failed;
            continue;
        }
        const bool steady = kind.max_gap == duration::zero() || state.longest_gap <= kind.max_gap;
        const bool on_time = steady && state.first_event <= kind.objective;
        result.on_time += on_time ? 1 : 0;
        result.late += on_time ? 0 : 1;
        result.seconds[second].on_time += on_time ? 1 : 0;
        result.returned_and_served += state.returned ? 1 : 0;
        result.worth += (on_time ? kind.worth : kind.late_worth) * weight_of(i);
        result.first_events.push_back(state.first_event);
    }
    for (auto& result : results) {
        std::ranges::sort(result.first_events);
    }
    return results;
}

} // namespace clementinegap
