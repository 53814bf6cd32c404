#include "net/event_loop.h"

#include <algorithm>
#include <csignal>
#include <ctime>

namespace clementinegap {

event_loop::event_loop() : read_memory_(std::make_unique<std::array<char, read_buffer_bytes>>())
{
    uv_loop_init(&loop_);
    uv_timer_init(&loop_, &timer_);
    timer_.data = this;
    deliveries_.begin(&loop_);
    uv_idle_init(&loop_, &idle_);
    idle_.data = this;
    // With SIGPIPE ignored, a write to a connection that the peer closed fails with an error code.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop()
{
    uv_walk(
        &loop_,
        [](uv_handle_t* handle, void*) {
            if (uv_is_closing(handle) == 0) {
                uv_close(handle, nullptr);
            }
        },
        nullptr);
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
}

time_point event_loop::now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) +
                                                           std::chrono::nanoseconds(value.tv_nsec)));
}

std::int64_t event_loop::unix_time_ms()
{
    timespec value{};
    clock_gettime(CLOCK_REALTIME, &value);
    return static_cast<std::int64_t>(value.tv_sec) * 1000 + value.tv_nsec / 1000000;
}

void event_loop::on_signal(int signal_number, std::function<void()> action)
{
    auto watch = std::make_unique<signal_watch>();
    watch->action = std::move(action);
    uv_signal_init(&loop_, &watch->handle);
    watch->handle.data = watch.get();
    uv_signal_start(
        &watch->handle, [](uv_signal_t* handle, int) { static_cast<signal_watch*>(handle->data)->action(); },
        signal_number);
    signals_[signal_number] = std::move(watch);
}

void event_loop::wake_at(time_point at, std::function<void()> action)
{
    wake_action_ = std::move(action);
    if (at == wake_at_) {
        return;
    }
    wake_at_ = at;
    if (at == never) {
        uv_timer_stop(&timer_);
        return;
    }
    uv_update_time(&loop_);
    const auto wait = std::max<duration>(at - now(), duration::zero());
    const auto wait_ms =
        static_cast<std::uint64_t>((wait + milliseconds(1) - microseconds(1)) / milliseconds(1));
    uv_timer_start(
        &timer_,
        [](uv_timer_t* handle) {
            auto& self = *static_cast<event_loop*>(handle->data);
            self.wake_at_ = never;
            const auto action = self.wake_action_;
            action();
        },
        wait_ms, 0);
}

void event_loop::run()
{
    uv_run(&loop_, UV_RUN_DEFAULT);
}

void event_loop::forget(batched_output& output)
{
    std::erase(batched_, &output);
}

void event_loop::end_batch()
{
    if (open_batches_ == 1) {
        // Flushing calls no handlers, so nothing is added or destroyed meanwhile.
        for (auto* each : batched_) {
            each->flush();
        }
        batched_.clear();
    }
    --open_batches_;
}

void event_loop::defer(deferred_work& work)
{
    deferred_.push_back(&work);
    uv_idle_start(&idle_, [](uv_idle_t* handle) { static_cast<event_loop*>(handle->data)->run_deferred(); });
}

void event_loop::run_deferred()
{
    uv_idle_stop(&idle_);
    const input_batch batch(*this);
    // Work may be deferred again or forgotten meanwhile.
    for (auto left = deferred_.size(); left > 0 && !deferred_.empty(); --left) {
        auto* next = deferred_.front();
        deferred_.erase(deferred_.begin());
        next->go_on();
    }
}

uv_buf_t event_loop::read_buffer()
{
    const auto bytes = buffers_.is_exhausted() ? byte_budget::small_share : read_buffer_bytes;
    return uv_buf_init(read_memory_->data(), static_cast<unsigned>(bytes));
}

} // namespace clementinegap
