#include "experiments/experiment.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace clementinegap {
namespace {

constexpr duration arrival_step = milliseconds(5);
constexpr duration poison_interval = seconds(2);

double factor_at(const experiment& about, duration at, const std::string& class_name,
                 const std::string& workspace)
{
    double factor = 1;
    for (const auto& swing : about.swings) {
        const bool concerns = (swing.class_name.empty() || swing.class_name == class_name) &&
                              (swing.workspace.empty() || swing.workspace == workspace);
        if (concerns && at >= swing.from && at < swing.to) {
            factor *= swing.factor;
        }
    }
    return factor;
}

double total_share(const experiment& about)
{
    double sum = 0;
    for (const auto& workspace : about.workspaces) {
        sum += workspace.share;
    }
    return sum;
}

std::uint32_t draw_length(const class_load& load, std::mt19937_64& random)
{
    std::lognormal_distribution<double> length(std::log(load.median_tokens), load.sigma);
    return std::clamp(static_cast<std::uint32_t>(length(random)), 1U, load.max_tokens);
}

void add_poison(const experiment& about, std::vector<arrival>& arrivals)
{
    for (duration at = poison_interval; at < about.length; at += poison_interval) {
        arrivals.push_back({at, 0, 0, 1, 0, true});
    }
}

} // namespace

class_load& experiment::load_of(const std::string& class_name)
{
    return *std::ranges::find_if(classes,
                                 [&](const class_load& load) { return load.rules.name == class_name; });
}

std::vector<arrival> arrivals_of(const experiment& about)
{
    std::vector<arrival> result;
    const double shares = total_share(about);
    const double step = std::chrono::duration<double>(arrival_step).count();
    for (std::size_t c = 0; c < about.classes.size(); ++c) {
        const auto& load = about.classes[c];
        for (std::size_t w = 0; w < about.workspaces.size(); ++w) {
            // A stream of its own for each class and workspace: changing one leaves the others as they are.
            std::mt19937_64 random(about.seed * 1'000'003 + c * 1009 + w);
            const double rate = load.requests_per_second * about.workspaces[w].share / shares;
            for (duration at{0}; at < about.length; at += arrival_step) {
                const double factor = factor_at(about, at, load.rules.name, about.workspaces[w].name);
                const auto count = std::poisson_distribution<int>(rate * factor * step + 1e-12)(random);
                for (int i = 0; i < count; ++i) {
                    const auto entry = static_cast<int>(random() % static_cast<std::uint64_t>(about.entries));
                    result.push_back({at, c, w, draw_length(load, random), entry, false});
                }
            }
        }
    }
    if (!about.poison.empty()) {
        add_poison(about, result);
    }
    std::ranges::stable_sort(result, {}, &arrival::at);
    return result;
}

double capacity_of(const experiment& about)
{
    const double slots = about.upstreams * static_cast<double>(about.slots);
    return slots / std::chrono::duration<double>(about.token_interval).count();
}

} // namespace clementinegap
