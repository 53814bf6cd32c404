#include "simulation/simulation_report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <vector>

namespace clementinegap {
namespace {

constexpr double percent = 100;
constexpr std::size_t drawn_points = 100;

/// The runs of one placement together.
struct placement_sum {
    std::string name;
    std::vector<kind_result> kinds;
    std::vector<double> worths; ///< By seed.
    std::uint64_t tokens_read{0};
    std::uint64_t tokens_reread{0};

    double mean_worth() const
    {
        double sum = 0;
        for (const double worth : worths) {
            sum += worth;
        }
        return sum / static_cast<double>(std::max<std::size_t>(1, worths.size()));
    }
};

void add(kind_result& sum, const kind_result& one)
{
    sum.name = one.name;
    sum.offered += one.offered;
    sum.on_time += one.on_time;
    sum.late += one.late;
    sum.refused += one.refused;
    sum.failed += one.failed;
    sum.returned += one.returned;
    sum.returned_and_served += one.returned_and_served;
    sum.worth += one.worth;
    sum.worth_owed += one.worth_owed;
    sum.first_events.insert(sum.first_events.end(), one.first_events.begin(), one.first_events.end());
    sum.seconds.resize(std::max(sum.seconds.size(), one.seconds.size()));
    for (std::size_t i = 0; i < one.seconds.size(); ++i) {
        sum.seconds[i].offered += one.seconds[i].offered;
        sum.seconds[i].on_time += one.seconds[i].on_time;
    }
}

/// In the order in which the placements were tried.
std::vector<placement_sum> sums_of(std::span<const simulation_result> results)
{
    std::vector<placement_sum> sums;
    for (const auto& result : results) {
        auto found = std::ranges::find(sums, result.placement, &placement_sum::name);
        if (found == sums.end()) {
            sums.push_back({result.placement, {}, {}, 0, 0});
            found = sums.end() - 1;
        }
        found->kinds.resize(result.kinds.size());
        for (std::size_t i = 0; i < result.kinds.size(); ++i) {
            add(found->kinds[i], result.kinds[i]);
        }
        found->worths.push_back(result.worth_share());
        found->tokens_read += result.tokens_read;
        found->tokens_reread += result.tokens_reread;
    }
    for (auto& sum : sums) {
        for (auto& kind : sum.kinds) {
            std::ranges::sort(kind.first_events);
        }
    }
    return sums;
}

double share(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

double milliseconds_at(const std::vector<duration>& sorted, double quantile)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    return std::chrono::duration<double, std::milli>(sorted[rank]).count();
}

std::string title_of(const placement_sum& sum, const kind_result& kind)
{
    return kind.name + ", " + sum.name;
}

} // namespace

std::string simulation_table(std::string_view name, std::span<const simulation_result> results)
{
    auto sums = sums_of(results);
    auto text = fmt::format("plan {}\n{:<20} {:<16} {:>8} {:>8} {:>7} {:>8} {:>7} {:>9} {:>8} {:>8} {:>7}\n",
                            name, "placement", "kind", "offered", "on time", "late", "refused", "failed",
                            "returned", "p50 ms", "p95 ms", "worth");
    for (const auto& sum : sums) {
        for (const auto& kind : sum.kinds) {
            const double offered = kind.offered;
            text += fmt::format(
                "{:<20} {:<16} {:>8} {:>7.1f}% {:>6.1f}% {:>7.1f}% {:>6.1f}% {:>4}/{:<4} {:>8.0f} {:>8.0f} "
                "{:>7.3f}\n",
                sum.name, kind.name, kind.offered, percent * share(kind.on_time, offered),
                percent * share(kind.late, offered), percent * share(kind.refused, offered),
                percent * share(kind.failed, offered), kind.returned_and_served, kind.returned,
                milliseconds_at(kind.first_events, 0.5), milliseconds_at(kind.first_events, 0.95),
                share(kind.worth, kind.worth_owed));
        }
    }
    std::ranges::stable_sort(sums, std::greater<>(), &placement_sum::mean_worth);
    for (const auto& sum : sums) {
        const auto [least, most] = std::ranges::minmax(sum.worths);
        text += fmt::format(
            "{:<20} worth {:.3f} ({:.3f} to {:.3f} over {} seeds), read again {:.1f}% of the "
            "prompt tokens read\n",
            sum.name, sum.mean_worth(), least, most, sum.worths.size(),
            percent * share(static_cast<double>(sum.tokens_reread), static_cast<double>(sum.tokens_read)));
    }
    return text;
}

json simulation_json(std::string_view name, std::span<const simulation_result> results)
{
    auto runs = json::array();
    for (const auto& result : results) {
        auto kinds = json::array();
        for (const auto& kind : result.kinds) {
            kinds.push_back({{"name", kind.name},
                             {"offered", kind.offered},
                             {"on_time", kind.on_time},
                             {"late", kind.late},
                             {"refused", kind.refused},
                             {"failed", kind.failed},
                             {"returned", kind.returned},
                             {"returned_and_served", kind.returned_and_served},
                             {"first_event_p50_ms", milliseconds_at(kind.first_events, 0.5)},
                             {"first_event_p95_ms", milliseconds_at(kind.first_events, 0.95)},
                             {"worth", share(kind.worth, kind.worth_owed)}});
        }
        runs.push_back({{"placement", result.placement},
                        {"seed", result.seed},
                        {"worth", result.worth_share()},
                        {"tokens_read", result.tokens_read},
                        {"tokens_reread", result.tokens_reread},
                        {"preemptions", result.preemptions},
                        {"inverted_preemptions", result.inverted_preemptions},
                        {"kinds", std::move(kinds)}});
    }
    return {{"plan", name}, {"runs", std::move(runs)}};
}

std::string simulation_plot(std::string_view name, std::span<const simulation_result> results,
                            std::string_view svg_file)
{
    const auto sums = sums_of(results);
    std::string curves;
    std::string series;
    std::string distributions;
    for (const auto& sum : sums) {
        for (const auto& kind : sum.kinds) {
            curves += fmt::format("{}'-' with lines title '{}'", curves.empty() ? "plot " : ", ",
                                  title_of(sum, kind));
            for (std::size_t second = 0; second < kind.seconds.size(); ++second) {
                const auto& at = kind.seconds[second];
                if (at.offered > 0) {
                    series += fmt::format("{} {:.2f}\n", second, percent * share(at.on_time, at.offered));
                }
            }
            series += "e\n";
            for (std::size_t point = 0; point <= drawn_points; ++point) {
                const double quantile = static_cast<double>(point) / drawn_points;
                distributions += fmt::format("{:.2f} {:.2f}\n",
                                             std::max(1.0, milliseconds_at(kind.first_events, quantile)),
                                             percent * quantile);
            }
            distributions += "e\n";
        }
    }
    return fmt::format("set terminal svg size 900,900\nset output '{}'\nset multiplot layout 2,1\n"
                       "set key outside\nset yrange [0:101]\nset title '{}'\nset xlabel 'second of the run'\n"
                       "set ylabel 'requests on time, %'\n{}\n{}unset title\nset logscale x\n"
                       "set xlabel 'first event, ms'\nset ylabel 'complete answers, %'\n{}\n{}"
                       "unset multiplot\n",
                       svg_file, name, curves, series, curves, distributions);
}

} // namespace clementinegap
