#pragma once

#include "core/timer_service.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace clementinegap {

/// Runs functions later on one thread, under the owner's lock.
class delayed_calls {
public:
    explicit delayed_calls(std::mutex& owner_mutex);
    delayed_calls(const delayed_calls&) = delete;
    delayed_calls& operator=(const delayed_calls&) = delete;
    ~delayed_calls();

    /// The owner's mutex must be held.
    void after(duration delay, std::function<void()> call);
    void stop();

private:
    void run();

    std::mutex& mutex_;
    std::condition_variable wakeup_;
    timer_service timers_;
    bool stopping_{false};
    std::thread thread_;
};

} // namespace clementinegap
