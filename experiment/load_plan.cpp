#include "experiment/load_plan.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace clementinegap {
namespace {

/// Draws that, unlike those of the standard distributions, are the same with every library.
class draws {
public:
    explicit draws(std::uint64_t seed) : random_(seed) {}

    /// Above 0, at most 1.
    double uniform()
    {
        constexpr int mantissa_bits = 53;
        return (static_cast<double>(random_() >> (64U - mantissa_bits)) + 1) * std::ldexp(1, -mantissa_bits);
    }

    double exponential() { return -std::log(uniform()); }

    /// Box and Muller's transform.
    double normal()
    {
        const double radius = std::sqrt(2 * exponential());
        return radius * std::cos(2 * std::numbers::pi * uniform());
    }

private:
    std::mt19937_64 random_;
};

/// The factor of the load of one class and workspace at a time.
double factor_at(const load_experiment& experiment, const class_demand& demand, const std::string& key,
                 duration at)
{
    double factor = 1;
    for (const auto& swing : experiment.swings) {
        const bool concerned = (swing.class_name.empty() || swing.class_name == demand.name) &&
                               (swing.key.empty() || swing.key == key);
        if (concerned && swing.covers(at)) {
            factor *= swing.factor;
        }
    }
    return factor;
}

std::uint32_t output_length(const class_demand& demand, draws& random)
{
    const double length = demand.median_tokens * std::exp(demand.sigma * random.normal());
    return static_cast<std::uint32_t>(std::clamp(length, 1.0, static_cast<double>(demand.max_tokens)));
}

} // namespace

std::vector<load_arrival> plan_arrivals(const load_experiment& experiment)
{
    draws random(experiment.seed);
    double highest = 1;
    for (const auto& swing : experiment.swings) {
        highest *= std::max(1.0, swing.factor);
    }
    double shares = 0;
    for (const auto& workspace : experiment.workspaces) {
        shares += workspace.share;
    }
    std::vector<load_arrival> plan;
    for (std::size_t c = 0; c < experiment.classes.size(); ++c) {
        const auto& demand = experiment.classes[c];
        for (std::size_t w = 0; w < experiment.workspaces.size(); ++w) {
            const auto& workspace = experiment.workspaces[w];
            // Thinning: candidates at the highest rate, each kept with its share of that rate.
            const double rate = demand.requests_per_second * workspace.share / shares * highest;
            if (rate <= 0) {
                continue;
            }
            double at = random.exponential() / rate;
            for (; at < std::chrono::duration<double>(experiment.run).count();
                 at += random.exponential() / rate) {
                const auto time = std::chrono::duration_cast<duration>(std::chrono::duration<double>(at));
                if (random.uniform() * highest <= factor_at(experiment, demand, workspace.key, time)) {
                    plan.push_back({time, c, w, output_length(demand, random), false});
                }
            }
        }
    }
    for (const auto at : experiment.poison_sent) {
        plan.push_back({at, 0, 0, 1, true});
    }
    std::ranges::stable_sort(plan, {}, &load_arrival::at);
    return plan;
}

} // namespace clementinegap
