#pragma once

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <semaphore>

namespace clementinegap {

/// A bounded multi-producer, single-consumer queue. A push to a full ring fails at once and is counted;
/// producers never block. Values are stored by pointer because Boost.Lockfree accepts trivially copyable
/// elements only.
template <class T> class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : capacity_(capacity), queue_(capacity) {}
    bounded_ring(const bounded_ring&) = delete;
    bounded_ring& operator=(const bounded_ring&) = delete;
    ~bounded_ring()
    {
        queue_.consume_all([](T* value) { delete value; });
    }

    /// \returns false when the ring is full; the value is then dropped and counted in `refused()`.
    bool push(T value)
    {
        if (size_.fetch_add(1, std::memory_order_relaxed) >= capacity_) {
            size_.fetch_sub(1, std::memory_order_relaxed);
            refused_.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        auto owned = std::make_unique<T>(std::move(value));
        if (!queue_.push(owned.get())) {
            size_.fetch_sub(1, std::memory_order_relaxed);
            refused_.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        [[maybe_unused]] T* const handed_over = owned.release();
        wake();
        return true;
    }

    /// Removes the oldest value; nullopt when the ring is empty. Consumer thread only.
    std::optional<T> pop()
    {
        T* raw = nullptr;
        if (!queue_.pop(raw)) {
            return std::nullopt;
        }
        size_.fetch_sub(1, std::memory_order_relaxed);
        const std::unique_ptr<T> owned(raw);
        return std::optional<T>(std::move(*owned));
    }

    /// Blocks until a push, a `wake()` or the timeout. Consumer thread only.
    void wait_for(std::chrono::microseconds timeout)
    {
        if (!queue_.empty()) {
            return;
        }
        sleeping_.store(true);
        if (queue_.empty()) {
            (void)signal_.try_acquire_for(timeout);
        }
        sleeping_.store(false);
    }

    /// Ends a `wait_for` early; used to signal state that is not passed through the ring.
    void wake()
    {
        if (sleeping_.exchange(false)) {
            signal_.release();
        }
    }

    std::uint64_t refused() const { return refused_.load(std::memory_order_relaxed); }
    std::size_t size() const { return size_.load(std::memory_order_relaxed); }

private:
    std::size_t capacity_;
    boost::lockfree::queue<T*> queue_;
    std::atomic<std::size_t> size_{0};
    std::atomic<std::uint64_t> refused_{0};
    std::atomic<bool> sleeping_{false};
    std::counting_semaphore<> signal_{0};
};

} // namespace clementinegap
