#pragma once

#include "core/time.h"
#include "net/byte_budget.h"
#include "net/delivery_watch.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <uv.h>

namespace clementinegap {

/// The event loop of the process, based on libuv: sockets, one timer and signals.
class event_loop {
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// Time since boot. It includes time in suspension, so ages stay correct across a suspension.
    static time_point now();
    /// Time of day of this VM in milliseconds since the Unix epoch. It may be set at any moment.
    static std::int64_t unix_time_ms();

    /// Calls `action` each time the process receives `signal_number`.
    void on_signal(int signal_number, std::function<void()> action);
    /// Calls `action` once, at or shortly after `at`. Replaces the previous wake-up.
    void wake_at(time_point at, std::function<void()> action);

    void run();
    void stop() { uv_stop(&loop_); }

    uv_loop_t* native() { return &loop_; }
    /// Buffer shared by all reads; its contents are valid until the next read. Small while the budget for
    /// buffered bytes is used up.
    uv_buf_t read_buffer();
    /// The bytes that the connections of this loop hold.
    byte_budget& buffers() { return buffers_; }
    /// The connections whose peers have yet to acknowledge bytes.
    delivery_watch& deliveries() { return deliveries_; }

private:
    static constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

    struct signal_watch {
        uv_signal_t handle{};
        std::function<void()> action;
    };

    byte_budget buffers_;
    delivery_watch deliveries_{&event_loop::now};
    uv_loop_t loop_{};
    uv_timer_t timer_{};
    std::function<void()> wake_action_;
    time_point wake_at_{never};
    std::map<int, std::unique_ptr<signal_watch>> signals_;
    std::unique_ptr<std::array<char, read_buffer_bytes>> read_memory_;
};

} // namespace clementinegap
