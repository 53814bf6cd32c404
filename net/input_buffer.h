#pragma once

#include "net/string_memory.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace clementinegap {

/// Bytes that have been received and not yet consumed. Consuming them in small parts takes linear time.
class input_buffer {
public:
    void append(std::string_view bytes) { bytes_.append(bytes); }
    void consume(std::size_t count)
    {
        begin_ += count;
        if (begin_ * 2 >= bytes_.size()) {
            bytes_.erase(0, begin_);
            begin_ = 0;
        }
        if (bytes_.empty() && bytes_.capacity() > kept_bytes) {
            release(bytes_);
        }
    }
    /// Drops all bytes and gives their memory back.
    void clear()
    {
        release(bytes_);
        begin_ = 0;
    }
    std::string_view view() const { return std::string_view(bytes_).substr(begin_); }
    std::size_t size() const { return bytes_.size() - begin_; }
    bool empty() const { return size() == 0; }
    std::size_t capacity() const { return bytes_.capacity(); }

private:
    /// What an empty buffer keeps for the next bytes.
    static constexpr std::size_t kept_bytes = std::size_t{4} * 1024;

    std::string bytes_;
    std::size_t begin_{0}; ///< Of the bytes that have not been consumed.
};

} // namespace clementinegap
