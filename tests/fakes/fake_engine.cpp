#include "fakes/fake_engine.h"

#include "core/checked_json.h"
#include "core/digest.h"

#include <algorithm>

namespace clementinegap {

std::string expected_token(const std::string& body, std::uint32_t index)
{
    return std::to_string(hash64(body, index) % 1000) + " ";
}

fake_engine::fake_engine(manual_scheduler& scheduler, fake_engine_options options,
                         std::function<void(upstream_event)> tell)
    : scheduler_(scheduler), options_(options), tell_(std::move(tell))
{
}

duration fake_engine::scaled(duration span) const
{
    return std::chrono::duration_cast<duration>(span * slow_);
}

fake_engine::run_ptr fake_engine::find(run_id run) const
{
    const auto found = runs_.find(run);
    return found == runs_.end() ? nullptr : found->second;
}

std::size_t fake_engine::running() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(runs_, [](const auto& item) { return item.second->active; }));
}

void fake_engine::start(const engine_start& action)
{
    const auto id = action.run;
    if (down_) {
        scheduler_.after(duration(100), [this, id] {
            tell_(engine_ended{id, engine_end_kind::not_reached});
        });
        return;
    }
    ++starts_;
    ++executions_[action.body];
    if (!crash_on_.empty() && action.body.find(crash_on_) != std::string::npos) {
        runs_.emplace(id, std::make_shared<run_state>(run_state{id, action.body}));
        crash();
        return;
    }
    auto run = std::make_shared<run_state>();
    run->id = id;
    run->body = action.body;
    run->priority = action.priority;
    run->produced = action.resume_from_token;
    const auto body = json::parse(action.body, nullptr, false);
    if (body.is_object()) {
        run->total = body.value("stand_in_tokens", run->total);
        run->streamed = body.value("stream", true);
    }
    if (truncate_ > 0) {
        --truncate_;
        run->cut = true;
    }
    runs_.emplace(id, run);
    waiting_.push_back(run);
    admit();
}

void fake_engine::admit()
{
    while (!waiting_.empty() && running() < options_.slots) {
        const auto best =
            std::ranges::min_element(waiting_, {}, [](const run_ptr& run) { return run->priority; });
        const auto run = *best;
        waiting_.erase(best);
        run->active = true;
        if (run->held) {
            continue;
        }
        step_later(run, run->prefilled ? scaled(options_.token_interval) : scaled(options_.prefill));
    }
}

void fake_engine::step_later(const run_ptr& run, duration delay)
{
    scheduler_.after(delay, [this, run, epoch = run->epoch] {
        if (run->epoch == epoch && find(run->id) == run) {
            step(run);
        }
    });
}

void fake_engine::step(const run_ptr& run)
{
    if (options_.is_service) {
        tell_(engine_head{run->id, 200, "application/json"});
        tell_(engine_bytes{run->id, "{\"done\":" + json(run->body).dump() + "}", 1});
        finish(run);
        return;
    }
    if (!run->prefilled) {
        run->prefilled = true;
        tell_(engine_head{run->id, 200, run->streamed ? "text/event-stream" : "application/json"});
    }
    if (run->produced >= run->total) {
        if (run->streamed) {
            tell_(engine_bytes{run->id, "data: [DONE]\n\n", 0});
        }
        finish(run);
        return;
    }
    if (run->cut && run->produced >= run->total / 2) {
        runs_.erase(run->id);
        tell_(engine_ended{run->id, engine_end_kind::broken});
        admit();
        return;
    }
    const auto token = expected_token(run->body, run->produced++);
    ++tokens_produced_;
    tell_(engine_bytes{run->id, run->streamed ? "data: " + token + "\n\n" : token, 1});
    if (find(run->id) == run && !run->held && !run->paused) {
        step_later(run, scaled(options_.token_interval));
    }
}

void fake_engine::finish(const run_ptr& run)
{
    runs_.erase(run->id);
    tell_(engine_ended{run->id, engine_end_kind::complete});
    admit();
}

void fake_engine::cancel(run_id id)
{
    const auto run = find(id);
    if (run == nullptr) {
        return;
    }
    std::erase(waiting_, run);
    runs_.erase(id);
    admit();
}

void fake_engine::stop_reading(run_id id)
{
    if (const auto run = find(id)) {
        run->held = true;
    }
}

void fake_engine::resume_reading(run_id id)
{
    const auto run = find(id);
    if (run == nullptr || !run->held) {
        return;
    }
    run->held = false;
    ++run->epoch;
    if (run->active) {
        step_later(run, scaled(options_.token_interval));
    }
}

void fake_engine::pause(run_id id)
{
    const auto run = find(id);
    if (run == nullptr || run->paused) {
        return;
    }
    run->paused = true;
    run->active = false;
    ++run->epoch;
    std::erase(waiting_, run);
    admit();
}

void fake_engine::resume(run_id id)
{
    const auto run = find(id);
    if (run == nullptr || !run->paused) {
        return;
    }
    run->paused = false;
    waiting_.push_back(run);
    admit();
}

void fake_engine::crash()
{
    down_ = true;
    const auto broken = std::exchange(runs_, {});
    waiting_.clear();
    for (const auto& [id, run] : broken) {
        scheduler_.after(duration(100), [this, run_number = id] {
            tell_(engine_ended{run_number, engine_end_kind::broken});
        });
    }
}

void fake_engine::forget_all()
{
    runs_.clear();
    waiting_.clear();
}

} // namespace clementinegap
