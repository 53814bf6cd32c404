#include "experiment/load_report.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace clementinegap {
namespace {

constexpr double percent = 100;

template <class... Values> void append(std::string& text, const char* format, Values... values)
{
    char line[512];
    const int length = std::snprintf(line, sizeof line, format, values...);
    text.append(line, static_cast<std::size_t>(std::min<int>(length, sizeof line - 1)));
}

std::string failures_text(const json& failures)
{
    std::string text;
    for (const auto& [code, count] : failures.items()) {
        text += (text.empty() ? "" : " ") + code + ":" + std::to_string(count.get<int>());
    }
    return text.empty() ? "-" : text;
}

/// One class of one run, named for a legend.
struct curve {
    std::string title;
    const json* figures;
};

std::vector<curve> curves_of(const json& result)
{
    std::vector<curve> curves;
    for (const auto& run : result.at("runs")) {
        for (const auto& figures : run.at("classes")) {
            auto title = figures.at("name").get<std::string>() + ", " + run.at("label").get<std::string>();
            curves.push_back({std::move(title), &figures});
        }
    }
    return curves;
}

void add_plot_line(std::string& script, const std::vector<curve>& curves)
{
    script += "plot ";
    for (std::size_t i = 0; i < curves.size(); ++i) {
        script += (i == 0 ? "'-' with lines title '" : ", '-' with lines title '") + curves[i].title + "'";
    }
    script += "\n";
}

void add_series(std::string& script, const json& series)
{
    for (std::size_t second = 0; second < series.size(); ++second) {
        const auto offered = series[second].at(0).get<int>();
        if (offered > 0) {
            append(script, "%zu %.2f\n", second, percent * series[second].at(1).get<int>() / offered);
        }
    }
    script += "e\n";
}

void add_distribution(std::string& script, const json& distribution)
{
    for (const auto& point : distribution) {
        append(script, "%.2f %.2f\n", point.at(0).get<double>(), percent * point.at(1).get<double>());
    }
    script += "e\n";
}

} // namespace

std::string report_table(const json& experiment_result)
{
    std::string text;
    append(text, "experiment %s, seed %llu\n", experiment_result.at("name").get<std::string>().c_str(),
           static_cast<unsigned long long>(experiment_result.at("seed").get<std::uint64_t>()));
    append(text, "%-18s %-8s %8s %8s %9s %9s %9s %9s  %s\n", "class", "run", "offered", "attained",
           "at crest", "p50 ms", "p95 ms", "p99 ms", "failures by code");
    for (const auto& run : experiment_result.at("runs")) {
        for (const auto& item : run.at("classes")) {
            append(text, "%-18s %-8s %8d %7.1f%% %8.1f%% %9.1f %9.1f %9.1f  %s\n",
                   item.at("name").get<std::string>().c_str(), run.at("label").get<std::string>().c_str(),
                   item.at("offered").get<int>(), percent * item.at("attainment").get<double>(),
                   percent * item.at("crest_attainment").get<double>(),
                   item.at("first_token_p50_ms").get<double>(), item.at("first_token_p95_ms").get<double>(),
                   item.at("first_token_p99_ms").get<double>(), failures_text(item.at("failures")).c_str());
        }
    }
    for (const auto& run : experiment_result.at("runs")) {
        append(text, "%-8s goodput %.0f tokens/s, wasted %.2f%% of the tokens produced\n",
               run.at("label").get<std::string>().c_str(), run.at("goodput_tokens_per_second").get<double>(),
               percent * run.at("wasted_share").get<double>());
    }
    return text;
}

std::string plot_script(const json& experiment_result, const std::string& svg_file)
{
    const auto curves = curves_of(experiment_result);
    std::string script = "set terminal svg size 900,900\nset output '" + svg_file +
                         "'\nset multiplot layout 2,1\nset key outside\nset yrange [0:101]\nset title '" +
                         experiment_result.at("name").get<std::string>() +
                         "'\nset xlabel 'second of the run'\nset ylabel 'requests in time, %'\n";
    add_plot_line(script, curves);
    for (const auto& item : curves) {
        add_series(script, item.figures->at("series"));
    }
    script += "unset title\nset logscale x\nset xlabel 'first token, ms'\nset ylabel 'requests, %'\n";
    add_plot_line(script, curves);
    for (const auto& item : curves) {
        add_distribution(script, item.figures->at("distribution"));
    }
    return script + "unset multiplot\n";
}

} // namespace clementinegap
