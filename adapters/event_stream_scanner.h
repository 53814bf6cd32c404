#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace clementinegap {

/// Counts the events of a server-sent event stream as its bytes pass, and notices the customary end mark. It
/// alters nothing and holds at most one line prefix, whatever the input.
class event_stream_scanner {
public:
    /// Takes the next bytes; returns the number of data events, without the end mark, that they completed.
    std::uint32_t feed(std::string_view bytes);

    /// Whether `data: [DONE]` has passed.
    bool end_mark_seen() const { return end_mark_seen_; }

private:
    void end_line();

    static constexpr std::size_t max_prefix_bytes = 16;

    std::string prefix_;
    bool event_has_data_{false};
    bool event_is_end_mark_{false};
    bool end_mark_seen_{false};
    std::uint32_t completed_{0};
};

} // namespace clementinegap
