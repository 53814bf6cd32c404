#include "main/command_timeline.h"

#include "main/admin_client.h"
#include "main/settings.h"
#include "observability/log_lines.h"
#include "observability/routed_explanation.h"
#include "observability/timeline_explanation.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <iterator>

namespace clementinegap {
namespace {

constexpr std::uint16_t http_ok = 200;

bool read_time(const parsed_words& words, std::string_view option, std::int64_t& target)
{
    if (!words.has(option)) {
        return true;
    }
    const auto text = words.value(option);
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), target);
    return problem == std::errc() && end == text.data() + text.size();
}

std::optional<timeline_filter> filter_from(const parsed_words& words)
{
    timeline_filter filter;
    filter.request_id = words.value("request");
    filter.class_name = words.value("class");
    filter.workspace = words.value("workspace");
    filter.upstream = words.value("upstream");
    if (!read_time(words, "from", filter.from_us) || !read_time(words, "to", filter.to_us)) {
        return std::nullopt;
    }
    return filter;
}

/// Reads all daemons; those that do not answer are named on standard error and counted.
std::vector<timeline_event> collect(admin_client& client, const std::vector<admin_target>& targets,
                                    const timeline_filter& filter, std::size_t& missing)
{
    const auto path = "/timeline" + (filter.request_id.empty() ? "" : "?request=" + filter.request_id);
    const auto answers = client.ask(targets, path);
    std::vector<timeline_event> events;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        auto read = timeline_from_json_lines(answers[i].body);
        if (answers[i].status != http_ok || !read) {
            std::fprintf(stderr, "no time line from %s %s\n", targets[i].vm.c_str(), targets[i].url.c_str());
            ++missing;
            continue;
        }
        for (auto& event : read.value()) {
            if (filter.fits(event)) {
                events.push_back(std::move(event));
            }
        }
    }
    sort_timeline(events);
    return events;
}

/// Reads log files of entry daemons; "-" is standard input. False when one cannot be read.
bool collect_logs(const std::vector<std::string>& paths, std::vector<timeline_event>& events)
{
    for (const auto& path : paths) {
        const auto text =
            path == "-" ? outcome<std::string>(std::string(std::istreambuf_iterator<char>(std::cin), {}))
                        : read_file(path);
        if (!text) {
            std::fprintf(stderr, "%s\n", text.error().message.c_str());
            return false;
        }
        auto reading = events_from_log(text.value());
        if (reading.unreadable > 0) {
            std::fprintf(stderr, "%s: %zu lines are no log lines\n", path.c_str(), reading.unreadable);
        }
        std::ranges::move(reading.events, std::back_inserter(events));
    }
    sort_timeline(events);
    return true;
}

std::optional<std::string> rendered(const parsed_words& words, const std::vector<timeline_event>& events)
{
    const auto format = words.has("format") ? words.value("format") : words.has("json") ? "json" : "text";
    if (words.has("explain")) {
        return explain_request(events);
    }
    if (format == "json") {
        return timeline_json_lines(events);
    }
    if (format == "trace") {
        return timeline_trace(events) + "\n";
    }
    return format == "text" ? std::optional(timeline_text(events)) : std::nullopt;
}

/// The time line of log files, or the explanation of one request in them.
exit_code show_logs(const parsed_words& words, const timeline_filter& filter)
{
    std::vector<timeline_event> events;
    if (!collect_logs(words.values("log"), events)) {
        return exit_code::usage;
    }
    if (words.has("explain")) {
        std::fputs(explain_routed_request(events, filter.request_id).c_str(), stdout);
        const auto known =
            std::ranges::any_of(events, [&](const timeline_event& event) { return filter.fits(event); });
        return known ? exit_code::ok : exit_code::refused;
    }
    std::erase_if(events, [&](const timeline_event& event) { return !filter.fits(event); });
    std::fputs(rendered(words, events)->c_str(), stdout);
    return words.has("request") && events.empty() ? exit_code::refused : exit_code::ok;
}

} // namespace

exit_code timeline_command(const parsed_words& words)
{
    const auto filter = filter_from(words);
    if (!filter || !rendered(words, {}) || (words.has("explain") && !words.has("request"))) {
        std::fputs("--from and --to take microseconds, --format text, json or trace, and --explain needs "
                   "--request\n",
                   stderr);
        return exit_code::usage;
    }
    if (words.has("log")) {
        return show_logs(words, *filter);
    }
    admin_client client;
    const auto targets = client.targets(words);
    if (!targets) {
        std::fprintf(stderr, "%s\n", targets.error().message.c_str());
        return targets.error().code == result_code::invalid_settings ? exit_code::usage
                                                                     : exit_code::unreachable;
    }
    std::size_t missing = 0;
    const auto events = collect(client, targets.value(), *filter, missing);
    std::fputs(rendered(words, events)->c_str(), stdout);
    if (missing == targets.value().size()) {
        return exit_code::unreachable;
    }
    return words.has("request") && events.empty() ? exit_code::refused : exit_code::ok;
}

} // namespace clementinegap
