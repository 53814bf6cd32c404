#include "adapters/runtime.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Signal.h>

#include <csignal>

namespace clementinegap {
namespace {

/// Passes signals on to the runtime, on the reactor's thread.
class signal_handler : public ACE_Event_Handler {
public:
    signal_handler(std::function<void()> on_stop, std::function<void()> on_reload)
        : on_stop_(std::move(on_stop)), on_reload_(std::move(on_reload))
    {
    }

    int handle_signal(int number, siginfo_t* /*info*/, ucontext_t* /*context*/) override
    {
        // A signal context allows next to nothing, so the reactor is asked to call back from its loop.
        pending_ = number;
        return 0;
    }

    void deliver()
    {
        const int number = pending_.exchange(0);
        if (number == SIGTERM || number == SIGINT) {
            on_stop_();
        } else if (number == SIGHUP) {
            on_reload_();
        }
    }

private:
    std::function<void()> on_stop_;
    std::function<void()> on_reload_;
    std::atomic<int> pending_{0};
};

} // namespace

time_point process_now()
{
    static const auto wall = std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
    static const auto steady = std::chrono::steady_clock::now();
    const auto passed = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - steady);
    return time_point(wall.time_since_epoch() + passed);
}

runtime::runtime(std::function<void()> on_stop, std::function<void()> on_reload)
    : on_stop_(std::move(on_stop)), on_reload_(std::move(on_reload))
{
}

int runtime::run()
{
    auto* reactor = ACE_Reactor::instance();
    signal_handler handler(on_stop_, on_reload_);
    ACE_Sig_Set set;
    set.sig_add(SIGTERM);
    set.sig_add(SIGINT);
    set.sig_add(SIGHUP);
    reactor->register_handler(set, &handler);
    while (!finished_) {
        ACE_Time_Value slice(0, 100'000);
        reactor->handle_events(slice);
        handler.deliver();
    }
    reactor->remove_handler(set);
    return exit_code_;
}

void runtime::finish(int exit_code)
{
    exit_code_ = exit_code;
    finished_ = true;
    ACE_Reactor::instance()->notify();
}

} // namespace clementinegap
