#include "observability/timeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <map>
#include <tuple>

namespace clementinegap {
namespace {

using nlohmann::json;

constexpr std::int64_t us_per_second = 1'000'000;

bool fits_text(const std::string& wanted, const std::string& value)
{
    return wanted.empty() || wanted == value;
}

std::string dumped(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

timeline_event event_from(const json& line)
{
    timeline_event event;
    event.at = {line.at("wall_us").get<std::int64_t>(), line.at("counter").get<std::uint32_t>()};
    event.sequence = line.at("sequence").get<std::uint64_t>();
    event.vm = line.at("vm").get<std::string>();
    event.record = {line.at("kind").get<std::string>(),     line.at("request").get<std::string>(),
                    line.at("class").get<std::string>(),    line.at("workspace").get<std::string>(),
                    line.at("upstream").get<std::string>(), line.at("detail").get<std::string>()};
    return event;
}

json to_line(const timeline_event& event)
{
    return {{"wall_us", event.at.wall},          {"counter", event.at.counter},
            {"sequence", event.sequence},        {"vm", event.vm},
            {"kind", event.record.kind},         {"request", event.record.request_id},
            {"class", event.record.class_name},  {"workspace", event.record.workspace},
            {"upstream", event.record.upstream}, {"detail", event.record.detail}};
}

json arguments_of(const timeline_event& event)
{
    return {{"request", event.record.request_id},
            {"class", event.record.class_name},
            {"workspace", event.record.workspace},
            {"upstream", event.record.upstream},
            {"detail", event.record.detail}};
}

/// Turns events into the trace-event format; keeps what is open until its end is met.
class trace_writer {
public:
    void add(const timeline_event& event)
    {
        const auto process = process_of(event.vm);
        const auto track = track_of(event.record.request_id);
        const auto& kind = event.record.kind;
        if (kind == "request.admitted" || kind == "run.started") {
            open_[{process, track}] = event.at.wall;
        } else if (kind == "request.ended" || kind == "attempt.ended") {
            close(event, process, track);
        }
        entries_.push_back({{"name", kind},
                            {"cat", category_of(kind)},
                            {"ph", "i"},
                            {"s", "t"},
                            {"ts", event.at.wall},
                            {"pid", process},
                            {"tid", track},
                            {"args", arguments_of(event)}});
    }

    std::string text() const { return dumped({{"traceEvents", entries_}, {"displayTimeUnit", "ms"}}); }

private:
    static std::string category_of(const std::string& kind) { return kind.substr(0, kind.find('.')); }

    int process_of(const std::string& vm)
    {
        const auto [at, added] = processes_.try_emplace(vm, static_cast<int>(processes_.size()) + 1);
        if (added) {
            entries_.push_back({{"name", "process_name"},
                                {"ph", "M"},
                                {"pid", at->second},
                                {"tid", 0},
                                {"args", {{"name", vm}}}});
        }
        return at->second;
    }

    int track_of(const std::string& request)
    {
        return request.empty()
                   ? 0
                   : tracks_.try_emplace(request, static_cast<int>(tracks_.size()) + 1).first->second;
    }

    void close(const timeline_event& event, int process, int track)
    {
        const auto found = open_.find({process, track});
        if (found == open_.end()) {
            return;
        }
        entries_.push_back({{"name", event.record.class_name + " " + event.record.request_id},
                            {"cat", category_of(event.record.kind)},
                            {"ph", "X"},
                            {"ts", found->second},
                            {"dur", event.at.wall - found->second},
                            {"pid", process},
                            {"tid", track},
                            {"args", arguments_of(event)}});
        open_.erase(found);
    }

    json entries_ = json::array();
    std::map<std::string, int> processes_;
    std::map<std::string, int> tracks_;
    std::map<std::pair<int, int>, std::int64_t> open_;
};

} // namespace

bool timeline_filter::fits(const timeline_event& event) const
{
    return fits_text(request_id, event.record.request_id) && fits_text(class_name, event.record.class_name) &&
           fits_text(workspace, event.record.workspace) && fits_text(upstream, event.record.upstream) &&
           event.at.wall >= from_us && event.at.wall <= to_us;
}

outcome<std::vector<timeline_event>> timeline_from_json_lines(std::string_view text)
{
    std::vector<timeline_event> events;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty()) {
            continue;
        }
        try {
            events.push_back(event_from(json::parse(line)));
        } catch (const json::exception&) {
            return failure(result_code::internal, "not a time line event: " + std::string(line));
        }
    }
    return events;
}

void sort_timeline(std::vector<timeline_event>& events)
{
    std::ranges::sort(events, {}, [](const timeline_event& event) {
        return std::tuple(event.at, std::string_view(event.vm), event.sequence);
    });
}

std::string timeline_text(std::span<const timeline_event> events)
{
    std::string text;
    const auto append = [&text](std::string_view value) {
        if (!value.empty()) {
            text += ' ';
            text += value;
        }
    };
    for (const auto& event : events) {
        text += utc_text(event.at.wall);
        append(event.vm);
        append(event.record.kind);
        append(event.record.request_id);
        append(event.record.class_name);
        append(event.record.workspace);
        append(event.record.upstream.empty() ? "" : "upstream=" + event.record.upstream);
        append(event.record.detail.empty() ? "" : "(" + event.record.detail + ")");
        text += '\n';
    }
    return text;
}

std::string timeline_json_lines(std::span<const timeline_event> events)
{
    std::string text;
    for (const auto& event : events) {
        text += dumped(to_line(event));
        text += '\n';
    }
    return text;
}

std::string timeline_trace(std::span<const timeline_event> events)
{
    trace_writer writer;
    for (const auto& event : events) {
        writer.add(event);
    }
    return writer.text();
}

std::string utc_text(std::int64_t wall_us)
{
    const std::time_t whole = wall_us / us_per_second;
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 40> text{};
    const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    auto fraction = std::to_string(us_per_second + wall_us % us_per_second);
    fraction.front() = '.';
    return std::string(text.data(), size) + fraction + "Z";
}

} // namespace clementinegap
