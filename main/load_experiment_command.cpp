#include "main/load_experiment_command.h"

#include "experiment/load_generator.h"
#include "experiment/load_measures.h"
#include "experiment/load_report.h"
#include "main/settings.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <semaphore>
#include <sstream>

namespace clementinegap {
namespace {

constexpr duration count_timeout = seconds(5);

outcome<load_experiment> read_experiment(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, read_file(path));
    return load_experiment_from_text(text);
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

http_call post(std::string url, std::string body)
{
    http_call call;
    call.method = "POST";
    call.url = std::move(url);
    call.body = std::move(body);
    return call;
}

planned_call call_of(const load_experiment& experiment, const load_arrival& arrival, std::size_t serial,
                     const std::string& entry)
{
    const auto& demand = experiment.classes[arrival.class_index];
    const auto prompt = arrival.poisoned ? experiment.poison : "Question " + std::to_string(serial);
    const json body{{"model", demand.model},
                    {"stream", demand.streamed},
                    {"stand_in_tokens", arrival.tokens},
                    {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    planned_call planned;
    planned.at = arrival.at;
    planned.streamed = demand.streamed;
    planned.call = post(entry + demand.path, body.dump());
    planned.call.headers = {"Authorization: Bearer " + experiment.workspaces[arrival.workspace_index].key,
                            "Content-Type: application/json", "Clementinegap-Class: " + demand.name};
    return planned;
}

/// The tokens that the engines have produced since they were started.
std::uint64_t produced_tokens(const std::vector<std::string>& engines)
{
    std::uint64_t total = 0;
    http_client client;
    for (const auto& engine : engines) {
        std::string text;
        std::binary_semaphore done(0);
        http_call call;
        call.url = engine + "/v1/counts";
        call.timeout = count_timeout;
        http_call_events events;
        events.on_bytes = [&](std::string_view bytes) { text.append(bytes); };
        events.on_end = [&](const http_end&) { done.release(); };
        client.start(std::move(call), std::move(events));
        done.acquire();
        const auto counts = json::parse(text, nullptr, false);
        total += counts.is_object() ? counts.value("tokens", std::uint64_t{0}) : 0;
    }
    return total;
}

std::vector<planned_control> controls_of(const load_experiment& experiment, const std::string& platform,
                                         const std::vector<std::string>& engines)
{
    std::vector<planned_control> controls;
    for (const auto& fault : experiment.faults) {
        const auto url = fault.engine == 0
                             ? platform + "/control/faults"
                             : engines.at(static_cast<std::size_t>(fault.engine) - 1) + "/control";
        controls.push_back({fault.at, post(url, fault.body)});
    }
    std::ranges::stable_sort(controls, {}, &planned_control::at);
    return controls;
}

/// Adds a run to the result file, which is made when it is not there.
exit_code add_run(const std::string& file, const load_experiment& experiment, const run_measures& run)
{
    json result{{"name", experiment.name}, {"seed", experiment.seed}, {"runs", json::array()}};
    if (const auto text = read_file(file)) {
        result = json::parse(text.value(), nullptr, false);
    }
    if (!result.is_object() || !result["runs"].is_array()) {
        std::fprintf(stderr, "not a result file: %s\n", file.c_str());
        return exit_code::usage;
    }
    result["runs"].push_back(to_json(run));
    std::ofstream(file) << result.dump(1) << '\n';
    return exit_code::ok;
}

exit_code fail_usage(const std::string& text)
{
    std::fprintf(stderr, "%s\n", text.c_str());
    return exit_code::usage;
}

} // namespace

exit_code load_run_command(const std::vector<std::string>& words)
{
    if (words.size() != 6) {
        return fail_usage("usage: clementinegap load run EXPERIMENT LABEL RESULT PLATFORM_URL ENGINE_URL,... "
                          "ENTRY_URL,...");
    }
    const auto read = read_experiment(words[0]);
    if (!read) {
        return fail_usage(read.error().message);
    }
    const auto& experiment = read.value();
    const auto engines = split(words[4]);
    const auto entries = split(words[5]);
    if (entries.empty() || engines.size() < static_cast<std::size_t>(experiment.deployment.upstreams)) {
        return fail_usage("one entry at least and an engine for each upstream are needed");
    }
    const auto plan = plan_arrivals(experiment);
    std::vector<planned_call> calls;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        calls.push_back(call_of(experiment, plan[i], i, entries[i % entries.size()]));
    }
    load_options options;
    options.grace = experiment.settle;
    options.on_progress = [&](duration passed, std::size_t sent, std::size_t answered) {
        std::fprintf(stderr, "\r%s %s: %3.0f s, sent %zu of %zu, answered %zu", experiment.name.c_str(),
                     words[1].c_str(), std::chrono::duration<double>(passed).count(), sent, calls.size(),
                     answered);
    };
    const auto before = produced_tokens(engines);
    const auto results = run_load(calls, controls_of(experiment, words[3], engines), options);
    std::fprintf(stderr, "\n");
    const auto produced = produced_tokens(engines) - before;
    return add_run(words[2], experiment, measure(experiment, plan, results, produced, words[1]));
}

exit_code load_shape_command(const std::vector<std::string>& words)
{
    const auto read = words.size() == 1
                          ? read_experiment(words[0])
                          : outcome<load_experiment>(failure(result_code::invalid_settings,
                                                             "usage: clementinegap load shape EXPERIMENT"));
    if (!read) {
        return fail_usage(read.error().message);
    }
    const auto& shape = read.value().deployment;
    std::printf("zones=%d entries=%d upstreams=%d slots=%d token_us=%lld\n", shape.zones, shape.entries,
                shape.upstreams, shape.slots, static_cast<long long>(shape.token_interval.count()));
    std::printf("replacements='");
    for (const auto& item : read.value().replacements) {
        std::printf("%.3f:%s ", std::chrono::duration<double>(item.at).count(), item.vm.c_str());
    }
    std::printf("'\n");
    return exit_code::ok;
}

exit_code load_report_command(const std::vector<std::string>& words)
{
    if (words.size() != 2) {
        return fail_usage("usage: clementinegap load report RESULT SVG");
    }
    const auto text = read_file(words[0]);
    const auto result = text ? json::parse(text.value(), nullptr, false) : json();
    if (!result.is_object()) {
        return fail_usage("not a result file: " + words[0]);
    }
    std::fputs(report_table(result).c_str(), stdout);
    std::ofstream(words[0] + ".gnuplot") << plot_script(result, words[1]);
    return exit_code::ok;
}

} // namespace clementinegap
