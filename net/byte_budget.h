#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>

namespace clementinegap {

/// The bytes that all connections and exchanges of a process hold together. The limit is soft: when it is
/// reached, nobody buffers more than a small share, so the sum stays near it however many connections there
/// are.
class byte_budget {
public:
    /// What a message or connection may hold in any case. Most messages are smaller.
    static constexpr std::size_t small_share = std::size_t{16} * 1024;

    /// Limit of what is queued for one peer, however much is left.
    static constexpr std::size_t largest_queue = std::size_t{2} << 20U;

    void set_limit(std::size_t bytes) { limit_ = bytes; }
    std::size_t used() const { return used_; }
    bool is_exhausted() const { return used_ >= limit_; }
    /// What one connection may queue for a peer that takes it slowly: a part of what is left, so that a few
    /// may queue much, and many together stay within the budget.
    std::size_t queue_share() const
    {
        constexpr std::size_t parts = 4;
        return is_exhausted() ? 0 : std::min((limit_ - used_) / parts, largest_queue);
    }
    /// Whether something that would hold this many bytes after it has grown may do so.
    bool may_hold(std::size_t bytes) const { return bytes <= small_share || !is_exhausted(); }

private:
    friend class byte_reservation;
    std::size_t limit_{std::numeric_limits<std::size_t>::max()};
    std::size_t used_{0};
};

/// The part of a budget that one connection or exchange uses.
class byte_reservation {
public:
    explicit byte_reservation(byte_budget& budget) : budget_(budget) {}
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    ~byte_reservation() { resize(0); }

    void resize(std::size_t bytes)
    {
        budget_.used_ = budget_.used_ - bytes_ + bytes;
        bytes_ = bytes;
    }

private:
    byte_budget& budget_;
    std::size_t bytes_{0};
};

} // namespace clementinegap
