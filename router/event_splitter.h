#pragma once

#include <string>
#include <string_view>

namespace clementinegap {

/// Cuts a server-sent event stream at the ends of its events, so that only whole events are passed on, and
/// remembers the id of the last one.
class event_splitter {
public:
    /// Takes bytes of the stream; returns the whole events that are now there, as they came.
    std::string feed(std::string_view bytes);
    /// What came after the last whole event.
    std::string take_rest() { return std::move(rest_); }
    bool has_rest() const { return !rest_.empty(); }
    /// Bytes of the event that has not ended yet.
    std::size_t rest_bytes() const { return rest_.size(); }
    void drop_rest() { rest_.clear(); }
    /// Empty before the first event with an id.
    const std::string& last_id() const { return last_id_; }

private:
    void note_ids(std::string_view events);

    std::string rest_;
    std::string last_id_;
};

} // namespace clementinegap
