#pragma once

#include "fakes/manual_scheduler.h"
#include "request/upstream_events.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinegap {

struct fake_engine_options {
    std::uint32_t slots{4}; ///< Runs at a time; more wait inside, as in an engine that is given too much.
    duration token_interval{milliseconds(10)};
    duration prefill{milliseconds(20)};
    bool is_service{false}; ///< Answers whole after `prefill`; its effect happens when the request arrives.
};

/// A model engine or plain service in manual time. The answer's length is the body's "stand_in_tokens"
/// (default 5). `executions()` is the ledger: how often each body was begun, which is what "ran" means in
/// every check.
class fake_engine {
public:
    fake_engine(manual_scheduler& scheduler, fake_engine_options options,
                std::function<void(upstream_event)> tell);

    void start(const engine_start& run);
    void cancel(run_id run);
    void stop_reading(run_id run);
    void resume_reading(run_id run);
    void pause(run_id run);
    void resume(run_id run);

    /// Breaks every run; later starts are not reached until `recover()`.
    void crash();
    void recover() { down_ = false; }
    /// The upstream daemon died: its connections close, so every run ends without a word.
    void forget_all();
    /// Multiplies prefill and token times from now on.
    void set_slow(double factor) { slow_ = factor; }
    /// A request whose body contains `text` crashes the engine; empty for none.
    void crash_on(std::string text) { crash_on_ = std::move(text); }
    /// The next `count` answers break after `bytes` bytes.
    void truncate_next(int count) { truncate_ = count; }

    const std::map<std::string, int>& executions() const { return executions_; }
    /// How many runs were begun.
    std::uint64_t starts() const { return starts_; }
    std::uint64_t tokens_produced() const { return tokens_produced_; }
    std::size_t running() const;
    double slow() const { return slow_; }

private:
    struct run_state {
        run_id id{0};
        std::string body;
        std::uint32_t total{5};
        std::uint32_t produced{0};
        std::uint8_t priority{0};
        bool streamed{true};
        bool active{false};
        bool paused{false};
        bool held{false};
        bool prefilled{false};
        bool cut{false};
        std::uint64_t epoch{0}; ///< Invalidates steps that were scheduled before a pause.
    };
    using run_ptr = std::shared_ptr<run_state>;

    void admit();
    void step_later(const run_ptr& run, duration delay);
    void step(const run_ptr& run);
    void finish(const run_ptr& run);
    duration scaled(duration span) const;
    run_ptr find(run_id run) const;

    manual_scheduler& scheduler_;
    fake_engine_options options_;
    std::function<void(upstream_event)> tell_;
    std::map<run_id, run_ptr> runs_;
    std::vector<run_ptr> waiting_;
    std::map<std::string, int> executions_;
    std::uint64_t starts_{0};
    std::uint64_t tokens_produced_{0};
    double slow_{1};
    bool down_{false};
    std::string crash_on_;
    int truncate_{0};
};

/// The text that the engine gives for a prompt body, token by token; what a caller must receive exactly.
std::string expected_token(const std::string& body, std::uint32_t index);

} // namespace clementinegap
