#include "main/command_simulate.h"

#include "main/settings.h"
#include "simulation/simulated_fleet.h"
#include "simulation/simulation_report.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>

namespace clementinegap {
namespace {

constexpr std::uint64_t most_seeds = 1000;

std::optional<std::uint64_t> seeds_of(const parsed_words& words)
{
    if (!words.has("seeds")) {
        return 1;
    }
    const auto text = words.value("seeds");
    std::uint64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid =
        problem == std::errc() && end == text.data() + text.size() && value > 0 && value <= most_seeds;
    return valid ? std::optional(value) : std::nullopt;
}

/// Leaves the placements that were named, all without a name. False for a name that the plan lacks.
bool keep_named(const parsed_words& words, simulation_plan& plan)
{
    const auto names = words.values("placement");
    if (names.empty()) {
        return true;
    }
    const bool known = std::ranges::all_of(names, [&](const std::string& name) {
        return std::ranges::find(plan.placements, name, &tried_placement::name) != plan.placements.end();
    });
    std::erase_if(plan.placements, [&](const tried_placement& each) {
        return std::ranges::find(names, each.name) == names.end();
    });
    return known;
}

bool write_plot(const std::string& file, const std::string& title,
                const std::vector<simulation_result>& results)
{
    std::ofstream out(file, std::ios::binary);
    out << simulation_plot(title, results, file + ".svg");
    return static_cast<bool>(out);
}

} // namespace

exit_code simulate_command(const parsed_words& words)
{
    const auto seeds = seeds_of(words);
    if (words.positionals().size() != 1 || !seeds) {
        std::fputs("usage: clementinegap simulate [OPTION...] PLAN; --seeds takes 1 to 1000\n", stderr);
        return exit_code::usage;
    }
    const auto& path = words.positionals().front();
    const auto text = read_file(path);
    auto plan = text ? simulation_plan_from_text(text.value()) : outcome<simulation_plan>(text.error());
    if (!plan) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), plan.error().message.c_str());
        return exit_code::usage;
    }
    if (!keep_named(words, plan.value())) {
        std::fputs("--placement names none of the plan's placements\n", stderr);
        return exit_code::usage;
    }
    std::vector<simulation_result> results;
    for (const auto& placement : plan.value().placements) {
        for (std::uint64_t i = 0; i < *seeds; ++i) {
            results.push_back(simulated_fleet(plan.value(), placement, plan.value().seed + i).run());
        }
    }
    const auto output = words.has("json") ? simulation_json(plan.value().name, results).dump() + "\n"
                                          : simulation_table(plan.value().name, results);
    std::fputs(output.c_str(), stdout);
    if (words.has("plot") && !write_plot(words.value("plot"), plan.value().name, results)) {
        std::fprintf(stderr, "%s cannot be written\n", words.value("plot").c_str());
        return exit_code::refused;
    }
    return exit_code::ok;
}

} // namespace clementinegap
