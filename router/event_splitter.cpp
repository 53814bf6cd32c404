#include "router/event_splitter.h"

#include <algorithm>

namespace clementinegap {

std::string event_splitter::feed(std::string_view bytes)
{
    constexpr std::string_view lf_separator = "\n\n";
    constexpr std::string_view crlf_separator = "\r\n\r\n";
    // The incomplete event holds no separator; only its last bytes can be part of one. Searching all of it
    // again for each piece would take quadratic time.
    const auto searched_from = partial_.size() - std::min(partial_.size(), crlf_separator.size() - 1);
    partial_.append(bytes);
    const auto window = std::string_view(partial_).substr(searched_from);
    const auto lf_at = window.rfind(lf_separator);
    const auto crlf_at = window.rfind(crlf_separator);
    std::size_t end = 0;
    if (lf_at != std::string_view::npos) {
        end = searched_from + lf_at + lf_separator.size();
    }
    if (crlf_at != std::string_view::npos) {
        end = std::max(end, searched_from + crlf_at + crlf_separator.size());
    }
    if (end == 0) {
        return {};
    }
    auto events = partial_.substr(0, end);
    partial_.erase(0, end);
    if (partial_.empty()) {
        release(partial_);
    }
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
