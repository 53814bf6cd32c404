#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace clementinegap {

/// The bytes that all connections and exchanges of a process hold together. The limit is soft: when it is
/// reached, nobody buffers more than a small share. At the ceiling connections are closed; see
/// `peer_connections`.
class byte_budget {
public:
    /// Who holds the bytes.
    enum class holder : std::uint8_t {
        process,
        system, ///< Buffers of sockets.
    };

    /// What a message or connection may hold in any case. Most messages are smaller.
    static constexpr std::size_t small_share = std::size_t{16} * 1024;

    /// Limit of what is queued for one peer, however much is left.
    static constexpr std::size_t largest_queue = std::size_t{2} << 20U;

    void set_limit(std::size_t bytes) { limit_ = bytes; }
    void set_ceiling(std::size_t bytes) { ceiling_ = bytes; }
    std::size_t ceiling() const { return ceiling_; }
    /// What the process holds.
    std::size_t used() const { return held_by(holder::process); }
    /// What the process and the system's buffers hold.
    std::size_t total() const { return used() + held_by(holder::system); }
    bool is_above_ceiling() const { return total() > ceiling_; }
    bool is_exhausted() const { return used() >= limit_; }
    /// What one connection may queue for a peer that takes it slowly: a part of what is left, so that a few
    /// may queue much, and many together stay within the budget.
    std::size_t queue_share() const
    {
        constexpr std::size_t parts = 4;
        return is_exhausted() ? 0 : std::min((limit_ - used()) / parts, largest_queue);
    }
    /// Whether something that would hold this many bytes after it has grown may do so.
    bool may_hold(std::size_t bytes) const { return bytes <= small_share || !is_exhausted(); }

private:
    friend class byte_reservation;
    std::size_t held_by(holder who) const { return bytes_[static_cast<std::size_t>(who)]; }

    std::size_t limit_{std::numeric_limits<std::size_t>::max()};
    std::size_t ceiling_{std::numeric_limits<std::size_t>::max()};
    std::array<std::size_t, 2> bytes_{}; ///< By holder.
};

/// The part of a budget that one connection or exchange uses.
class byte_reservation {
public:
    explicit byte_reservation(byte_budget& budget, byte_budget::holder holder = byte_budget::holder::process)
        : budget_(budget), holder_(holder)
    {
    }
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    ~byte_reservation() { resize(0); }

    std::size_t size() const { return bytes_; }
    void resize(std::size_t bytes)
    {
        auto& sum = budget_.bytes_[static_cast<std::size_t>(holder_)];
        sum = sum - bytes_ + bytes;
        bytes_ = bytes;
    }

private:
    byte_budget& budget_;
    byte_budget::holder holder_;
    std::size_t bytes_{0};
};

} // namespace clementinegap
