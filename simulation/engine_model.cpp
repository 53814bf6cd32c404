#include "simulation/engine_model.h"

#include "routing/scaled_duration.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr double pairs_per_million = 1e6;
constexpr double us_per_ms = 1000;

} // namespace

void engine_model::submit(engine_run run, time_point now)
{
    if (waiting_.size() >= figures_.queue) {
        news_.push_back({run.id, engine_news::kind::refused});
        step_ends_ = std::min(step_ends_, now);
        return;
    }
    state added;
    added.run = std::move(run);
    added.order = ++last_order_;
    for (const auto& part : added.run.parts) {
        added.prompt_tokens += part.tokens;
    }
    wait(std::move(added));
    step_ends_ = std::min(step_ends_, running_.empty() ? now : step_ends_);
}

void engine_model::wait(state one)
{
    const auto place = std::ranges::upper_bound(waiting_, rank(one), {}, &engine_model::rank);
    waiting_.insert(place, std::move(one));
}

void engine_model::cancel(std::uint64_t run)
{
    std::erase_if(waiting_, [&](const state& one) { return one.run.id == run; });
    const auto found = find_running(run);
    if (found != running_.end()) {
        give_back(*found);
        running_.erase(found);
    }
}

void engine_model::receive(std::span<const prompt_part> parts)
{
    if (memory_.take(parts)) {
        memory_.set_read(parts);
        memory_.release(parts);
    }
}

std::vector<engine_model::state>::iterator engine_model::find_running(std::uint64_t run)
{
    return std::ranges::find(running_, run, [](const state& one) { return one.run.id; });
}

std::span<const engine_news> engine_model::advance(time_point now)
{
    std::vector<std::uint64_t> producing;
    for (auto& one : running_) {
        const bool was_read = one.to_read == 0;
        one.to_read -= one.reading;
        one.read += std::exchange(one.reading, 0);
        if (one.to_read > 0) {
            continue;
        }
        if (!was_read) {
            memory_.set_read(one.run.parts);
        }
        producing.push_back(one.run.id);
    }
    for (const auto run : producing) {
        produce(run);
    }
    begin_step(now);
    told_ = std::exchange(news_, {});
    return told_;
}

void engine_model::produce(std::uint64_t run)
{
    if (find_running(run) == running_.end() || !grow(run)) {
        return; // Displaced for another run's token, or for its own.
    }
    const auto one = find_running(run);
    ++one->held_output;
    ++one->produced;
    const bool ended = one->produced >= one->run.output_tokens;
    if (ended || (one->produced - 1) % figures_.tokens_per_event == 0) {
        news_.push_back({run, engine_news::kind::event});
    }
    if (ended) {
        news_.push_back({run, engine_news::kind::completed});
        give_back(*one);
        running_.erase(one);
    }
}

bool engine_model::grow(std::uint64_t run)
{
    // When memory is short, the newest of the least urgent yields.
    while (!memory_.grow()) {
        const auto victim = std::ranges::max_element(running_, {}, &engine_model::rank);
        const bool is_itself = victim->run.id == run;
        displace(victim);
        if (is_itself) {
            return false;
        }
    }
    return true;
}

void engine_model::displace(std::vector<state>::iterator victim)
{
    auto one = std::move(*victim);
    running_.erase(victim);
    give_back(one);
    one.reading = 0;
    ++preemptions_;
    const bool is_inverted = std::ranges::any_of(
        running_, [&](const state& other) { return other.run.priority > one.run.priority; });
    inverted_preemptions_ += is_inverted ? 1 : 0;
    wait(std::move(one));
}

void engine_model::give_back(state& one)
{
    memory_.release(one.run.parts);
    memory_.shrink(std::exchange(one.held_output, 0));
}

bool engine_model::displace_for(const state& urgent)
{
    const auto victim = std::ranges::max_element(running_, {}, &engine_model::rank);
    if (victim == running_.end() || victim->run.urgency <= urgent.run.urgency) {
        return false;
    }
    displace(victim);
    return true;
}

void engine_model::admit()
{
    while (!waiting_.empty()) {
        if (running_.size() >= figures_.slots && !displace_for(waiting_.front())) {
            return;
        }
        const auto missing = memory_.missing(waiting_.front().run.parts);
        if (!memory_.take(waiting_.front().run.parts)) {
            if (!displace_for(waiting_.front())) {
                return;
            }
            continue;
        }
        auto one = std::move(waiting_.front());
        waiting_.erase(waiting_.begin());
        one.to_read = missing + one.produced;
        shared_tokens_read_ += missing - std::min(missing, one.run.parts.back().tokens);
        one.read = 0;
        running_.push_back(std::move(one));
    }
}

void engine_model::begin_step(time_point now)
{
    admit();
    step_ends_ = running_.empty() ? never : now + step_time();
}

duration engine_model::step_time()
{
    std::vector<state*> by_urgency;
    double context = 0;
    std::uint32_t streams = 0;
    for (auto& one : running_) {
        streams += one.to_read == 0 ? 1 : 0;
        context += one.prompt_tokens + one.produced;
        by_urgency.push_back(&one);
    }
    std::ranges::sort(by_urgency, {}, [](const state* one) { return rank(*one); });
    std::uint32_t left = figures_.chunk_tokens;
    double pairs = 0;
    for (auto* one : by_urgency) {
        one->reading = std::min(left, one->to_read);
        left -= one->reading;
        pairs += static_cast<double>(one->reading) * (one->read + one->reading / 2.0);
    }
    const auto reading = figures_.chunk_tokens - left;
    tokens_read_ += reading;
    const double read_us = reading / figures_.prompt_tokens_per_ms * us_per_ms +
                           pairs / pairs_per_million * figures_.attention_ms_per_million * us_per_ms;
    return figures_.step + figures_.step_per_stream * streams +
           scaled(microseconds(1), context / 1000 * figures_.context_us_per_1000_tokens + read_us);
}

} // namespace clementinegap
