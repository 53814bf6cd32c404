#include "core/checked_json.h"
#include "slopes/slope_suite.h"

#include <popt.h>

#include <cstdio>
#include <memory>

namespace {

constexpr int exit_usage = 2;
constexpr int default_rounds = 5;

} // namespace

int main(int argc, char** argv)
{
    int seed = 1;
    int rounds = default_rounds;
    int as_json = 0;
    const poptOption options[] = {
        {"seed", 's', POPT_ARG_INT, &seed, 0, "seed of the random choices", "N"},
        {"rounds", 'r', POPT_ARG_INT, &rounds, 0, "rounds; the medians are given", "N"},
        {"json", 'j', POPT_ARG_NONE, &as_json, 0, "print JSON instead of a table", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("measure_slopes", argc, const_cast<const char**>(argv), options, 0), &poptFreeContext);
    if (poptGetNextOpt(context.get()) < -1 || rounds < 1) {
        std::fputs("usage: measure_slopes [--seed N] [--rounds N] [--json]\n", stderr);
        return exit_usage;
    }
    const auto slopes = clementinegap::measure_slopes(static_cast<std::uint64_t>(seed), rounds);
    clementinegap::json rows = clementinegap::json::array();
    for (const auto& item : slopes) {
        rows.push_back({{"name", item.name}, {"per", item.per}, {"unit", item.unit}, {"value", item.value}});
        if (as_json == 0) {
            std::printf("%-32s %12.3f %-9s per %s\n", item.name.c_str(), item.value, item.unit.c_str(),
                        item.per.c_str());
        }
    }
    if (as_json != 0) {
        std::printf(
            "%s\n",
            clementinegap::json{{"seed", seed}, {"rounds", rounds}, {"slopes", rows}}.dump(4).c_str());
    }
    return 0;
}
