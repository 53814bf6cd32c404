#include "policy/work_queue.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::int64_t starvation_threshold_percent = 75; ///< Of the starvation bound.
constexpr std::size_t max_classes = 1024;                 ///< Per tier, including idle classes.

} // namespace

void fifo_queue::push(queued_work work)
{
    queue_.push_back(std::move(work));
}

bool fifo_queue::erase(std::uint64_t id)
{
    return std::erase_if(queue_, [id](const queued_work& work) { return work.id == id; }) > 0;
}

std::optional<queued_work> fifo_queue::pop(time_point /*now*/)
{
    if (queue_.empty()) {
        return std::nullopt;
    }
    auto work = std::move(queue_.front());
    queue_.pop_front();
    return work;
}

fair_queue& tiered_queue::class_queue(std::uint8_t tier, const std::string& class_name)
{
    auto& from = tiers_[tier];
    if (from.classes.size() >= max_classes && !from.classes.contains(class_name)) {
        std::erase_if(from.classes, [](const auto& item) { return item.second.size() == 0; });
    }
    return from.classes[class_name];
}

void tiered_queue::push(queued_work work)
{
    locations_.emplace(work.id, location{work.tier, work.class_name});
    auto& queue = class_queue(work.tier, work.class_name);
    auto& target = tiers_.at(work.tier);
    target.waiting.emplace(work.class_name, &queue);
    ++target.size;
    const auto now = work.arrived;
    queue.push(std::move(work), now);
}

bool tiered_queue::erase(std::uint64_t id)
{
    const auto found = locations_.find(id);
    if (found == locations_.end()) {
        return false;
    }
    const auto found_location = std::move(found->second);
    locations_.erase(found);
    tiers_.at(found_location.tier).classes.at(found_location.class_name).erase(id);
    removed(found_location.tier, found_location.class_name);
    return true;
}

void tiered_queue::removed(std::uint8_t tier, const std::string& class_name)
{
    auto& from = tiers_.at(tier);
    --from.size;
    if (from.classes.at(class_name).size() == 0) {
        from.waiting.erase(class_name);
    }
}

fair_queue* tiered_queue::choose(const tier_queue& from, time_point horizon)
{
    fair_queue* best = nullptr;
    std::pair<bool, time_point> best_rank;
    for (const auto& [name, queue] : from.waiting) {
        const auto* head = queue->peek(horizon);
        const bool late = head->target_at <= horizon && !head->preempted;
        const std::pair rank(late, head->target_at);
        if (best == nullptr || rank < best_rank) {
            best = queue;
            best_rank = rank;
        }
    }
    return best;
}

std::optional<queued_work> tiered_queue::take(std::uint8_t tier, fair_queue& from, time_point now)
{
    auto work = from.pop(now + first_token_time_, now);
    if (work) {
        locations_.erase(work->id);
        removed(tier, work->class_name);
    }
    return work;
}

std::optional<queued_work> tiered_queue::pop(time_point now)
{
    for (const auto& [tier, from] : tiers_) {
        if (from.size > 0) {
            return take(tier, *choose(from, now + first_token_time_), now);
        }
    }
    return std::nullopt;
}

std::optional<queued_work> tiered_queue::pop_class(const std::string& class_name, time_point now)
{
    for (const auto& [tier, from] : tiers_) {
        const auto found = from.waiting.find(class_name);
        if (found != from.waiting.end()) {
            return take(tier, *found->second, now);
        }
    }
    return std::nullopt;
}

std::optional<std::uint8_t> tiered_queue::highest_tier() const
{
    for (const auto& [tier, from] : tiers_) {
        if (from.size > 0) {
            return tier;
        }
    }
    return std::nullopt;
}

std::size_t tiered_queue::size_up_to(std::uint8_t tier) const
{
    std::size_t sum = 0;
    for (const auto& [number, from] : tiers_) {
        sum += number <= tier ? from.size : 0;
    }
    return sum;
}

const queued_work* tiered_queue::least_urgent() const
{
    for (auto from = tiers_.rbegin(); from != tiers_.rend(); ++from) {
        const queued_work* latest = nullptr;
        for (const auto& [name, queue] : from->second.waiting) {
            const auto* candidate = queue->least_urgent();
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

std::optional<std::string> tiered_queue::starving_class(time_point now) const
{
    std::optional<std::string> result;
    duration longest{0};
    for (const auto& [tier, from] : tiers_) {
        for (const auto& [name, queue] : from.waiting) {
            // The class must first wait for a free slot, so it becomes eligible before its bound has passed.
            const auto eligible_after = queue->starvation_bound() * starvation_threshold_percent / 100;
            const auto overdue = now - queue->unserved_since() - eligible_after;
            if (overdue > longest) {
                longest = overdue;
                result = name;
            }
        }
    }
    return result;
}

void tiered_queue::charge(const queued_work& work, double tokens)
{
    class_queue(work.tier, work.class_name).charge(work.workspace, work.weight, tokens);
}

} // namespace clementinegap
