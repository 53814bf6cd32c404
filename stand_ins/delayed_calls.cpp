#include "stand_ins/delayed_calls.h"

#include "adapters/runtime.h"

namespace clementinegap {

delayed_calls::delayed_calls(std::mutex& owner_mutex) : mutex_(owner_mutex), thread_([this] { run(); }) {}

delayed_calls::~delayed_calls()
{
    stop();
}

void delayed_calls::after(duration delay, std::function<void()> call)
{
    timers_.schedule(process_now() + delay, [call = std::move(call)](time_point) { call(); });
    wakeup_.notify_one();
}

void delayed_calls::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wakeup_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void delayed_calls::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        timers_.run_due(process_now());
        const auto due = timers_.next_due();
        if (due == never) {
            wakeup_.wait(lock);
        } else {
            wakeup_.wait_for(lock, due - process_now());
        }
    }
}

} // namespace clementinegap
