#include "experiment/load_measures.h"

#include "experiment/distribution.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr int distribution_points = 100;

double share_of(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

double in_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

void add(class_measures& figures, const class_demand& demand, bool crest, const load_arrival& arrival,
         const load_result& result)
{
    const bool attained = result.complete && result.first_token_time() <= demand.target;
    auto& [offered_then, attained_then] = figures.series[static_cast<std::size_t>(arrival.at / seconds(1))];
    ++figures.offered;
    ++offered_then;
    figures.crest_offered += crest ? 1 : 0;
    if (!result.complete) {
        ++figures.failures[result.code];
        return;
    }
    ++figures.complete;
    figures.first_token.push_back(result.first_token_time());
    // The stand-in engine produces exactly the planned tokens, also where the answer is not streamed.
    figures.complete_tokens += arrival.tokens;
    if (attained) {
        ++figures.attained;
        ++attained_then;
        figures.crest_attained += crest ? 1 : 0;
        figures.useful_tokens += arrival.tokens;
    }
}

json class_json(const class_measures& figures)
{
    json distribution = json::array();
    for (int i = 1; i <= distribution_points; ++i) {
        const double quantile = static_cast<double>(i) / distribution_points;
        distribution.push_back({in_ms(quantile_of(figures.first_token, quantile)),
                                quantile * share_of(figures.complete, figures.offered)});
    }
    json failures = json::object();
    for (const auto& [code, count] : figures.failures) {
        failures[std::to_string(code)] = count;
    }
    return {{"name", figures.name},
            {"offered", figures.offered},
            {"complete", figures.complete},
            {"attainment", share_of(figures.attained, figures.offered)},
            {"crest_offered", figures.crest_offered},
            {"crest_attainment", share_of(figures.crest_attained, figures.crest_offered)},
            {"first_token_p50_ms", in_ms(quantile_of(figures.first_token, 0.5))},
            {"first_token_p95_ms", in_ms(quantile_of(figures.first_token, 0.95))},
            {"first_token_p99_ms", in_ms(quantile_of(figures.first_token, 0.99))},
            {"failures", std::move(failures)},
            {"series", figures.series},
            {"distribution", std::move(distribution)}};
}

} // namespace

double run_measures::wasted_share() const
{
    std::uint64_t received = 0;
    for (const auto& figures : classes) {
        received += figures.complete_tokens;
    }
    return produced_tokens <= received
               ? 0.0
               : static_cast<double>(produced_tokens - received) / static_cast<double>(produced_tokens);
}

run_measures measure(const load_experiment& experiment, std::span<const load_arrival> plan,
                     std::span<const load_result> results, std::uint64_t produced_tokens, std::string label)
{
    run_measures run;
    run.label = std::move(label);
    run.produced_tokens = produced_tokens;
    const auto seconds_of_run = static_cast<std::size_t>(std::chrono::ceil<seconds>(experiment.run).count());
    for (const auto& demand : experiment.classes) {
        class_measures figures;
        figures.name = demand.name;
        figures.series.resize(seconds_of_run + 1);
        run.classes.push_back(std::move(figures));
    }
    for (std::size_t i = 0; i < plan.size(); ++i) {
        const auto& arrival = plan[i];
        if (!arrival.poisoned) {
            add(run.classes[arrival.class_index], experiment.classes[arrival.class_index],
                experiment.is_crest(arrival.at), arrival, results[i]);
        }
    }
    std::uint64_t useful = 0;
    for (auto& figures : run.classes) {
        std::ranges::sort(figures.first_token);
        useful += figures.useful_tokens;
    }
    run.goodput = static_cast<double>(useful) / std::chrono::duration<double>(experiment.run).count();
    return run;
}

json to_json(const run_measures& value)
{
    json classes = json::array();
    for (const auto& figures : value.classes) {
        classes.push_back(class_json(figures));
    }
    return {{"label", value.label},
            {"goodput_tokens_per_second", value.goodput},
            {"produced_tokens", value.produced_tokens},
            {"wasted_share", value.wasted_share()},
            {"classes", std::move(classes)}};
}

} // namespace clementinegap
