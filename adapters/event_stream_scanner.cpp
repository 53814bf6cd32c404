#include "adapters/event_stream_scanner.h"

#include <utility>

namespace clementinegap {

std::uint32_t event_stream_scanner::feed(std::string_view bytes)
{
    for (const char c : bytes) {
        if (c == '\n') {
            end_line();
        } else if (c != '\r' && prefix_.size() < max_prefix_bytes) {
            prefix_.push_back(c);
        }
    }
    return std::exchange(completed_, 0);
}

void event_stream_scanner::end_line()
{
    const auto line = std::exchange(prefix_, {});
    if (!line.empty()) {
        if (line.starts_with("data:")) {
            event_has_data_ = true;
            event_is_end_mark_ = line == "data: [DONE]" || line == "data:[DONE]";
        }
        return;
    }
    // An empty line ends the event.
    if (std::exchange(event_has_data_, false)) {
        if (std::exchange(event_is_end_mark_, false)) {
            end_mark_seen_ = true;
        } else {
            ++completed_;
        }
    }
}

} // namespace clementinegap
