#include "observability/log_lines.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <optional>
#include <string>

namespace clementinegap {
namespace {

using nlohmann::json;

constexpr std::int64_t us_per_second = 1000000;

/// Reads "2026-12-04T03:52:48.123Z" with any number of fractional digits.
std::optional<std::int64_t> wall_us_of(const std::string& text)
{
    std::tm parts{};
    int read = 0;
    const int found = std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d%n", &parts.tm_year, &parts.tm_mon,
                                  &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &read);
    constexpr int fields = 6;
    if (found != fields) {
        return std::nullopt;
    }
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    std::int64_t us = 0;
    std::int64_t digit_worth = us_per_second / 10;
    auto at = static_cast<std::size_t>(read);
    if (at < text.size() && text[at] == '.') {
        for (++at; at < text.size() && text[at] >= '0' && text[at] <= '9'; ++at, digit_worth /= 10) {
            us += (text[at] - '0') * digit_worth;
        }
    }
    return text.substr(at) == "Z" ? std::optional(timegm(&parts) * us_per_second + us) : std::nullopt;
}

std::optional<timeline_event> event_of(const json& line)
{
    if (!line.is_object() || !line.contains("time") || !line.contains("event")) {
        return std::nullopt;
    }
    for (const auto& [name, value] : line.items()) {
        if (!value.is_string()) {
            return std::nullopt;
        }
    }
    const auto wall = wall_us_of(line.at("time").get<std::string>());
    if (!wall) {
        return std::nullopt;
    }
    timeline_event event;
    event.at.wall = *wall;
    event.vm = line.value("vm", "");
    event.record.kind = line.at("event").get<std::string>();
    event.record.request_id = line.value("request", "");
    event.record.upstream = line.value("upstream", "");
    event.record.detail = line.value("detail", "");
    return event;
}

} // namespace

log_reading events_from_log(std::string_view text)
{
    log_reading result;
    std::uint64_t sequence = 0;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        const auto brace = line.find('{');
        if (brace == std::string_view::npos) {
            continue;
        }
        auto event = event_of(json::parse(line.substr(brace), nullptr, false));
        if (!event) {
            ++result.unreadable;
            continue;
        }
        event->sequence = ++sequence;
        result.events.push_back(std::move(*event));
    }
    return result;
}

} // namespace clementinegap
