#pragma once

#include "adapters/runtime.h"
#include "core/bounded_ring.h"
#include "request/entry_events.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

namespace clementinegap {

/// The thread that owns a decision core: takes events from its ring, hands the core's actions out in order,
/// and keeps the core's timers.
template <class Core, class Event, class Action> class decision_thread {
public:
    using apply_function = std::function<void(const Action&, time_point now)>;

    /// \param settings that the core is made from.
    template <class Settings>
    decision_thread(Settings settings, std::size_t ring_capacity, apply_function apply)
        : core_(std::move(settings)), ring_(ring_capacity), apply_(std::move(apply))
    {
    }
    decision_thread(const decision_thread&) = delete;
    decision_thread& operator=(const decision_thread&) = delete;
    ~decision_thread() { stop(); }

    void start()
    {
        thread_ = std::thread([this] { run(); });
    }

    /// False when the ring is full.
    bool post(Event event) { return ring_.push(std::move(event)); }

    void stop()
    {
        stopping_ = true;
        ring_.wake();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    std::uint64_t refused() const { return ring_.refused(); }
    std::size_t waiting() const { return ring_.size(); }

    /// Called on the decision thread after each batch; the place to publish figures of the core.
    void on_idle(std::function<void(const Core&)> observe) { observe_ = std::move(observe); }

    /// Called on the decision thread when the ring is empty and at the latest after `max_batch` events: the
    /// place to hand over what the batch's actions have gathered, in one piece instead of one by one.
    void on_batch_end(std::function<void()> flush) { flush_ = std::move(flush); }

private:
    static constexpr std::size_t max_batch = 64;
    static constexpr auto max_sleep = std::chrono::milliseconds(100);

    void run()
    {
        while (!stopping_) {
            if (auto event = ring_.pop()) {
                handle(*event);
                if (++batch_ >= max_batch) {
                    flush();
                }
                continue;
            }
            flush();
            if (observe_) {
                observe_(core_);
            }
            const auto now = process_now();
            const auto due = core_.next_due();
            if (due <= now) {
                handle(Event(tick{}));
                flush();
                continue;
            }
            ring_.wait_for(std::min<duration>(max_sleep, due - now));
        }
    }

    void flush()
    {
        batch_ = 0;
        if (flush_) {
            flush_();
        }
    }

    void handle(const Event& event)
    {
        const auto now = process_now();
        for (const auto& action : core_.on_event(event, now)) {
            apply_(action, now);
        }
    }

    Core core_;
    bounded_ring<Event> ring_;
    apply_function apply_;
    std::function<void(const Core&)> observe_;
    std::function<void()> flush_;
    std::size_t batch_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace clementinegap
