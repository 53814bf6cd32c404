#include "experiments/experiment_catalogue.h"
#include "experiments/experiment_report.h"

#include <chrono>
#include <iostream>

/// Prints the measures of the quick experiments, or of those named, under both variants.
int main(int argc, char** argv)
{
    using namespace clementinegap;
    const std::vector<std::string> names(argv + 1, argv + argc);
    for (const auto& about : all_experiments()) {
        if (!names.empty() && std::ranges::find(names, about.name) == names.end()) {
            continue;
        }
        for (const auto variant : {decision_variant::product, decision_variant::naive}) {
            const auto begin = std::chrono::steady_clock::now();
            std::cout << report(about, variant, run_experiment(about, variant)) << std::flush;
            const auto spent = std::chrono::steady_clock::now() - begin;
            std::cerr << about.name << ' ' << std::chrono::duration_cast<milliseconds>(spent).count()
                      << " ms\n";
        }
    }
    return 0;
}
