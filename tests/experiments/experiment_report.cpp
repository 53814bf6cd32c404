#include "experiments/experiment_report.h"

#include <cstdio>

namespace clementinegap {
namespace {

std::string in_milliseconds(duration value)
{
    return value == duration::max() ? "-" : std::to_string(to_milliseconds(value));
}

} // namespace

std::string report(const experiment& about, decision_variant variant, const experiment_measures& measured)
{
    char line[256];
    const char* name = variant == decision_variant::product ? "product" : "naive";
    std::string text;
    std::snprintf(line, sizeof line, "| %s | %s | all | %.0f tokens/s | use %.1f%% | wasted %.2f%% | | |\n",
                  about.name.c_str(), name, measured.goodput, 100 * measured.engine_use,
                  100 * measured.wasted());
    text += line;
    for (const auto& load : about.classes) {
        const auto& seen = measured.classes.at(load.rules.name);
        std::string codes;
        for (const auto& [code, count] : seen.codes) {
            codes += code + " " + std::to_string(count) + " ";
        }
        std::snprintf(line, sizeof line,
                      "| %s | %s | %s | %d sent | attained %.2f%% | p50 %s | p99 %s | %s|\n",
                      about.name.c_str(), name, load.rules.name.c_str(), seen.sent, 100 * seen.attainment(),
                      in_milliseconds(seen.percentile(0.5)).c_str(),
                      in_milliseconds(seen.percentile(0.99)).c_str(), codes.c_str());
        text += line;
    }
    return text;
}

} // namespace clementinegap
