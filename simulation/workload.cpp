#include "simulation/workload.h"

#include "core/digest.h"
#include "routing/scaled_duration.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>
#include <string>

namespace clementinegap {
namespace {

using random_source = std::mt19937_64;

/// Calls of one clump arrive within this time.
constexpr double clump_ms = 60;
constexpr double ms_per_second = 1000;

double draw(const size_distribution& size, random_source& random)
{
    if (size.sigma == 0) {
        return std::min(size.mean, size.most);
    }
    const double location = std::log(size.mean) - size.sigma * size.sigma / 2;
    return std::clamp(std::lognormal_distribution<double>(location, size.sigma)(random), 1.0, size.most);
}

std::uint32_t draw_count(const size_distribution& size, random_source& random)
{
    return static_cast<std::uint32_t>(std::max(1.0, std::round(draw(size, random))));
}

double factor_at(const simulation_plan& plan, const generation_kind& kind, duration at)
{
    const double turn =
        std::chrono::duration<double>(at).count() / std::chrono::duration<double>(plan.wave_period).count();
    double factor = 1 + plan.wave_swing * std::sin(2 * std::numbers::pi * turn);
    for (const auto& swell : plan.swells) {
        const bool covers = at >= swell.from && at < swell.to;
        factor *= covers && (swell.kind.empty() || swell.kind == kind.name) ? swell.factor : 1.0;
    }
    return factor;
}

/// The most that `factor_at` gives at any time.
double greatest_factor(const simulation_plan& plan)
{
    double factor = 1 + plan.wave_swing;
    for (const auto& swell : plan.swells) {
        factor *= std::max(1.0, swell.factor);
    }
    return factor;
}

/// The shared parts of the prompts of one kind.
class shared_parts {
public:
    shared_parts(const generation_kind& kind, std::uint64_t seed) : kind_(kind)
    {
        double sum = 0;
        const auto sessions = kind.levels.empty() ? 0 : kind.levels.back().parts;
        for (std::uint32_t i = 0; i < sessions; ++i) {
            sum += std::pow(i + 1, -kind.session_skew);
            popularity_.push_back(sum);
        }
        for (std::size_t level = 0; level < kind.levels.size(); ++level) {
            random_source random(hash64(kind.name + "/" + std::to_string(level), seed));
            auto& sizes = tokens_.emplace_back();
            for (std::uint32_t i = 0; i < kind.levels[level].parts; ++i) {
                sizes.push_back(draw_count(kind.levels[level].tokens, random));
            }
        }
    }

    std::vector<prompt_part> draw_parts(random_source& random) const
    {
        std::vector<prompt_part> parts;
        if (popularity_.empty()) {
            return parts;
        }
        const double at = std::uniform_real_distribution<double>(0, popularity_.back())(random);
        const auto session =
            static_cast<std::size_t>(std::ranges::lower_bound(popularity_, at) - popularity_.begin());
        for (std::size_t level = 0; level < tokens_.size(); ++level) {
            // A session always follows the same parts of the levels before it.
            const auto index = session % tokens_[level].size();
            parts.push_back({hash64(kind_.name + "#" + std::to_string(level), index), tokens_[level][index]});
        }
        return parts;
    }

private:
    const generation_kind& kind_;
    std::vector<double> popularity_; ///< Sums over the sessions.
    std::vector<std::vector<std::uint32_t>> tokens_;
};

simulated_call make_call(const simulation_plan& plan, std::size_t kind_index, const shared_parts& shared,
                         random_source& random)
{
    const auto& kind = plan.kinds[kind_index];
    simulated_call call;
    call.kind = kind_index;
    call.router = std::uniform_int_distribution<std::size_t>(0, plan.routers - 1)(random);
    call.prompt.model = "model";
    call.prompt.parts = shared.draw_parts(random);
    call.prompt.parts.push_back({random(), draw_count(kind.prompt_tokens, random)});
    for (const auto& part : call.prompt.parts) {
        call.prompt.tokens_in += part.tokens;
    }
    const auto per_event = plan.engine.tokens_per_event;
    call.output_tokens = draw_count(kind.events, random) * per_event;
    call.prompt.tokens_out_limit = static_cast<std::uint32_t>(kind.events.most) * per_event;
    const double error = std::lognormal_distribution<double>(0, kind.hint_sigma)(random);
    call.prompt.tokens_out_hint = std::max(1U, static_cast<std::uint32_t>(call.output_tokens * error));
    if (!plan.workspace_priorities.empty()) {
        call.workspace =
            std::uniform_int_distribution<std::size_t>(0, plan.workspace_priorities.size() - 1)(random);
    }
    return call;
}

} // namespace

std::vector<simulated_call> calls_of(const simulation_plan& plan, std::uint64_t seed)
{
    std::vector<simulated_call> calls;
    const double most = greatest_factor(plan);
    const double run_ms = std::chrono::duration<double, std::milli>(plan.run).count();
    for (std::size_t index = 0; index < plan.kinds.size(); ++index) {
        const auto& kind = plan.kinds[index];
        random_source random(hash64("calls of " + kind.name, seed));
        const shared_parts shared(kind, plan.seed);
        const double clumps_per_ms = kind.requests_per_second * most / plan.clump / ms_per_second;
        if (clumps_per_ms <= 0) {
            continue;
        }
        std::exponential_distribution<double> pause(clumps_per_ms);
        std::poisson_distribution<int> others(plan.clump - 1);
        std::uniform_real_distribution<double> within(0, 1);
        for (double at = pause(random); at < run_ms; at += pause(random)) {
            const auto time = scaled(milliseconds(1), at);
            if (within(random) * most > factor_at(plan, kind, time)) {
                continue;
            }
            const int size = 1 + (plan.clump > 1 ? others(random) : 0);
            for (int i = 0; i < size; ++i) {
                auto call = make_call(plan, index, shared, random);
                const double later_ms = i == 0 ? 0 : within(random) * clump_ms;
                call.at = time + scaled(milliseconds(1), later_ms);
                calls.push_back(std::move(call));
            }
        }
    }
    std::ranges::stable_sort(calls, {}, &simulated_call::at);
    return calls;
}

} // namespace clementinegap
