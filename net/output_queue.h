#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <utility>

namespace clementinegap {

/// Bytes that wait to be written. Small pieces are joined, so that the memory used stays close to the number
/// of bytes.
class output_queue {
public:
    void append(std::string bytes)
    {
        bytes_ += bytes.size();
        if (!blocks_.empty() && blocks_.back().size() + bytes.size() <= joined_bytes) {
            blocks_.back().append(bytes);
            return;
        }
        blocks_.push_back(std::move(bytes));
    }
    /// Removes the first block.
    std::string take_front()
    {
        auto block = std::move(blocks_.front());
        blocks_.pop_front();
        bytes_ -= block.size();
        return block;
    }
    void clear()
    {
        blocks_.clear();
        bytes_ = 0;
    }
    std::size_t size() const { return bytes_; }
    bool empty() const { return blocks_.empty(); }

private:
    static constexpr std::size_t joined_bytes = std::size_t{16} * 1024;

    std::deque<std::string> blocks_;
    std::size_t bytes_{0};
};

} // namespace clementinegap
