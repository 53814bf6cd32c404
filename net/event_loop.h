#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <uv.h>

namespace clementinegap {

/// The process's single event loop over libuv: sockets, one timer and signals.
class event_loop {
public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// Time since boot, which goes on while the machine is suspended: ages that span a suspension are true.
    static time_point now();

    /// Calls `action` on each arrival of `signal_number`.
    void on_signal(int signal_number, std::function<void()> action);
    /// Calls `action` once, at or shortly after `at`; replaces an earlier wake-up.
    void wake_at(time_point at, std::function<void()> action);

    void run();
    void stop() { uv_stop(&loop_); }

    uv_loop_t* native() { return &loop_; }
    /// Memory that every read goes to; valid until the next read.
    uv_buf_t read_buffer();

private:
    static constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

    struct signal_watch {
        uv_signal_t handle{};
        std::function<void()> action;
    };

    uv_loop_t loop_{};
    uv_timer_t timer_{};
    std::function<void()> wake_action_;
    time_point wake_at_{never};
    std::map<int, std::unique_ptr<signal_watch>> signals_;
    std::unique_ptr<std::array<char, read_buffer_bytes>> read_memory_;
};

} // namespace clementinegap
