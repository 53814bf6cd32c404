#include "router/event_splitter.h"

namespace clementinegap {

std::string event_splitter::feed(std::string_view bytes)
{
    partial_.append(bytes);
    const auto lf_end = partial_.rfind("\n\n");
    const auto crlf_end = partial_.rfind("\r\n\r\n");
    std::size_t end = 0;
    if (lf_end != std::string::npos) {
        end = lf_end + 2;
    }
    if (crlf_end != std::string::npos && crlf_end + 4 > end) {
        end = crlf_end + 4;
    }
    if (end == 0) {
        return {};
    }
    auto events = partial_.substr(0, end);
    partial_.erase(0, end);
    record_last_id(events);
    return events;
}

void event_splitter::record_last_id(std::string_view events)
{
    constexpr std::string_view field = "id:";
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        events = end == std::string_view::npos ? std::string_view{} : events.substr(end + 1);
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        last_id_ = line;
    }
}

} // namespace clementinegap
