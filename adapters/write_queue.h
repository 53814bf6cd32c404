#pragma once

#include <mutex>
#include <optional>

namespace clementinegap {

/// Gathers messages into the next frame while the last one is being written. Bounded by bytes: a peer that
/// does not read is cut off instead of filling memory.
template <class Frame> class write_queue {
public:
    explicit write_queue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Lets `add` put one message of about `bytes` into the gathering frame. False when the bound is passed.
    template <class Add> bool push(std::size_t bytes, Add&& add)
    {
        if (bytes_ + bytes > max_bytes_) {
            return false;
        }
        bytes_ += bytes;
        std::forward<Add>(add)(gathering_);
        empty_ = false;
        return true;
    }

    /// The frame to write next, when none is being written and there is something to say.
    Frame* begin_write()
    {
        if (writing_ || empty_) {
            return nullptr;
        }
        writing_ = true;
        written_.Clear();
        written_.Swap(&gathering_);
        bytes_ = 0;
        empty_ = true;
        return &written_;
    }

    void end_write() { writing_ = false; }

private:
    std::size_t max_bytes_;
    std::size_t bytes_{0};
    bool writing_{false};
    bool empty_{true};
    Frame gathering_;
    Frame written_;
};

} // namespace clementinegap
