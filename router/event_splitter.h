#pragma once

#include "net/string_memory.h"

#include <string>
#include <string_view>

namespace clementinegap {

/// Splits a server-sent event stream at event boundaries, so that only complete events are forwarded, and
/// records the id of the last one.
class event_splitter {
public:
    /// Appends bytes of the stream. \returns the events that are now complete, byte for byte.
    std::string feed(std::string_view bytes);
    /// The bytes after the last complete event.
    std::string take_partial() { return std::move(partial_); }
    bool has_partial() const { return !partial_.empty(); }
    /// Size of the incomplete event.
    std::size_t partial_bytes() const { return partial_.size(); }
    /// Memory that it takes.
    std::size_t partial_capacity() const { return partial_.capacity(); }
    void drop_partial() { release(partial_); }
    /// Id of the last complete event that has one; empty if there was none.
    const std::string& last_id() const { return last_id_; }

private:
    void record_last_id(std::string_view events);

    std::string partial_;
    std::string last_id_;
};

} // namespace clementinegap
