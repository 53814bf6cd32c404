#pragma once

#include "core/time.h"

#include <atomic>
#include <functional>

namespace clementinegap {

/// The process's clock: the wall time at start carried on by the steady clock, so that it never goes back.
time_point process_now();

/// Signals over the ACE reactor. `run` serves the calling thread until `finish`; SIGTERM and SIGINT call
/// `on_stop`, SIGHUP calls `on_reload`, both on that thread.
class runtime {
public:
    runtime(std::function<void()> on_stop, std::function<void()> on_reload);

    int run();
    /// Ends `run` with this exit code; from any thread.
    void finish(int exit_code);

private:
    std::function<void()> on_stop_;
    std::function<void()> on_reload_;
    std::atomic<int> exit_code_{0};
    std::atomic<bool> finished_{false};
};

} // namespace clementinegap
