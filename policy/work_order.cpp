#include "policy/work_order.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::int64_t asking_share_percent = 75; ///< Of the starvation bound.
constexpr std::size_t max_classes = 1024;         ///< Of one tier that are remembered while idle.

} // namespace

void fifo_order::push(queued_work work)
{
    queue_.push_back(std::move(work));
}

bool fifo_order::erase(std::uint64_t id)
{
    return std::erase_if(queue_, [id](const queued_work& work) { return work.id == id; }) > 0;
}

std::optional<queued_work> fifo_order::pop(time_point /*now*/)
{
    if (queue_.empty()) {
        return std::nullopt;
    }
    auto work = std::move(queue_.front());
    queue_.pop_front();
    return work;
}

fair_queue& tiered_order::class_queue(std::uint8_t tier, const std::string& class_name)
{
    auto& from = levels_[tier];
    if (from.classes.size() >= max_classes && !from.classes.contains(class_name)) {
        std::erase_if(from.classes, [](const auto& item) { return item.second.size() == 0; });
    }
    return from.classes[class_name];
}

void tiered_order::push(queued_work work)
{
    places_.emplace(work.id, place{work.tier, work.class_name});
    auto& queue = class_queue(work.tier, work.class_name);
    auto& target = levels_.at(work.tier);
    target.waiting.emplace(work.class_name, &queue);
    ++target.size;
    const auto now = work.arrived;
    queue.push(std::move(work), now);
}

bool tiered_order::erase(std::uint64_t id)
{
    const auto found = places_.find(id);
    if (found == places_.end()) {
        return false;
    }
    const auto where = std::move(found->second);
    places_.erase(found);
    levels_.at(where.tier).classes.at(where.class_name).erase(id);
    removed(where.tier, where.class_name);
    return true;
}

void tiered_order::removed(std::uint8_t tier, const std::string& class_name)
{
    auto& from = levels_.at(tier);
    --from.size;
    if (from.classes.at(class_name).size() == 0) {
        from.waiting.erase(class_name);
    }
}

fair_queue* tiered_order::choose(const level& from, time_point horizon)
{
    fair_queue* best = nullptr;
    std::pair<bool, time_point> best_rank;
    for (const auto& [name, queue] : from.waiting) {
        const auto* head = queue->peek(horizon);
        const bool late = head->target_at <= horizon && !head->set_aside;
        const std::pair rank(late, head->target_at);
        if (best == nullptr || rank < best_rank) {
            best = queue;
            best_rank = rank;
        }
    }
    return best;
}

std::optional<queued_work> tiered_order::take(std::uint8_t tier, fair_queue& from, time_point now)
{
    auto work = from.pop(now + first_token_time_, now);
    if (work) {
        places_.erase(work->id);
        removed(tier, work->class_name);
    }
    return work;
}

std::optional<queued_work> tiered_order::pop(time_point now)
{
    for (const auto& [tier, from] : levels_) {
        if (from.size > 0) {
            return take(tier, *choose(from, now + first_token_time_), now);
        }
    }
    return std::nullopt;
}

std::optional<queued_work> tiered_order::pop_class(const std::string& class_name, time_point now)
{
    for (const auto& [tier, from] : levels_) {
        const auto found = from.waiting.find(class_name);
        if (found != from.waiting.end()) {
            return take(tier, *found->second, now);
        }
    }
    return std::nullopt;
}

std::optional<std::uint8_t> tiered_order::first_tier() const
{
    for (const auto& [tier, from] : levels_) {
        if (from.size > 0) {
            return tier;
        }
    }
    return std::nullopt;
}

std::size_t tiered_order::size_to(std::uint8_t tier) const
{
    std::size_t sum = 0;
    for (const auto& [number, from] : levels_) {
        sum += number <= tier ? from.size : 0;
    }
    return sum;
}

const queued_work* tiered_order::last() const
{
    for (auto from = levels_.rbegin(); from != levels_.rend(); ++from) {
        const queued_work* latest = nullptr;
        for (const auto& [name, queue] : from->second.waiting) {
            const auto* candidate = queue->last();
            if (candidate != nullptr && (latest == nullptr || candidate->target_at > latest->target_at)) {
                latest = candidate;
            }
        }
        if (latest != nullptr) {
            return latest;
        }
    }
    return nullptr;
}

std::optional<std::string> tiered_order::starving_class(time_point now) const
{
    std::optional<std::string> result;
    duration longest{0};
    for (const auto& [tier, from] : levels_) {
        for (const auto& [name, queue] : from.waiting) {
            // A slot has yet to become free, so the class asks before its bound is over.
            const auto asks_after = queue->starvation_bound() * asking_share_percent / 100;
            const auto past = now - queue->unserved_since() - asks_after;
            if (past > longest) {
                longest = past;
                result = name;
            }
        }
    }
    return result;
}

void tiered_order::charge(const queued_work& work, double tokens)
{
    class_queue(work.tier, work.class_name).charge(work.workspace, work.weight, tokens);
}

} // namespace clementinegap
