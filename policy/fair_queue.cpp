#include "policy/fair_queue.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::size_t max_idle_flows = 4096;

} // namespace

fair_queue::flow& fair_queue::find_or_add_flow(const std::string& workspace)
{
    auto [found, inserted] = flows_.try_emplace(workspace);
    if (inserted) {
        found->second.service = virtual_time_;
        idle_.emplace(found->second.service, workspace);
    }
    return found->second;
}

std::set<fair_queue::service_key>& fair_queue::containing_set(const flow& value)
{
    if (value.empty()) {
        return idle_;
    }
    return value.all_late ? late_ : on_time_;
}

void fair_queue::remove_from_set(const std::string& workspace, const flow& value)
{
    containing_set(value).erase({value.service, workspace});
}

void fair_queue::add_to_set(const std::string& workspace, const flow& value)
{
    containing_set(value).emplace(value.service, workspace);
}

void fair_queue::push(queued_work work, time_point now)
{
    if (positions_.empty()) {
        unserved_since_ = now;
    }
    starvation_bound_ = work.starvation_bound;
    auto& target = find_or_add_flow(work.workspace);
    remove_from_set(work.workspace, target);
    if (target.empty()) {
        target.service = std::max(target.service, virtual_time_);
    }
    target.all_late = false;
    const queue_key key{work.target_at, work.id};
    positions_.emplace(work.id, location{work.workspace, key});
    if (!work.preempted) {
        refusable_.emplace(key);
    }
    const auto workspace = work.workspace;
    auto& queue = work.preempted ? target.preempted : target.queue;
    queue.emplace(key, std::move(work));
    add_to_set(workspace, target);
}

bool fair_queue::erase(std::uint64_t id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end()) {
        return false;
    }
    const auto item_location = std::move(found->second);
    positions_.erase(found);
    refusable_.erase(item_location.key);
    auto& source = flows_.at(item_location.workspace);
    remove_from_set(item_location.workspace, source);
    source.queue.erase(item_location.key);
    source.preempted.erase(item_location.key);
    add_to_set(item_location.workspace, source);
    evict_idle_flows();
    return true;
}

fair_queue::flow* fair_queue::next_flow(time_point horizon)
{
    while (!on_time_.empty()) {
        auto& candidate = flows_.at(on_time_.begin()->second);
        const bool on_time = !candidate.preempted.empty() || candidate.queue.rbegin()->first.first > horizon;
        if (on_time) {
            return &candidate;
        }
        // The work with the latest target is late, so all of it is. The flow ranks behind until its next
        // push.
        candidate.all_late = true;
        late_.insert(on_time_.extract(on_time_.begin()));
    }
    return late_.empty() ? nullptr : &flows_.at(late_.begin()->second);
}

const queued_work* fair_queue::peek(time_point horizon)
{
    const auto* source = next_flow(horizon);
    if (source == nullptr) {
        return nullptr;
    }
    return &head_of(*source, horizon);
}

const queued_work& fair_queue::head_of(const flow& source, time_point horizon)
{
    const bool slice_due = !source.preempted.empty() && source.preempted.begin()->first.first <= horizon;
    if (slice_due) {
        return source.preempted.begin()->second;
    }
    const auto on_time = source.queue.upper_bound({horizon, UINT64_MAX});
    if (on_time != source.queue.end()) {
        return on_time->second;
    }
    return source.preempted.empty() ? source.queue.begin()->second : source.preempted.begin()->second;
}

std::optional<queued_work> fair_queue::pop(time_point horizon, time_point now)
{
    const auto* next = peek(horizon);
    if (next == nullptr) {
        return std::nullopt;
    }
    auto work = *next;
    virtual_time_ = std::max(virtual_time_, flows_.at(work.workspace).service);
    erase(work.id);
    unserved_since_ = now;
    return work;
}

const queued_work* fair_queue::least_urgent() const
{
    if (refusable_.empty()) {
        return nullptr;
    }
    const auto& item_location = positions_.at(refusable_.rbegin()->second);
    return &flows_.at(item_location.workspace).queue.at(item_location.key);
}

void fair_queue::charge(const std::string& workspace, double weight, double tokens)
{
    auto& payer = find_or_add_flow(workspace);
    remove_from_set(workspace, payer);
    payer.service += tokens / std::max(weight, 1e-6);
    add_to_set(workspace, payer);
    evict_idle_flows();
}

void fair_queue::evict_idle_flows()
{
    while (idle_.size() > max_idle_flows) {
        flows_.erase(idle_.begin()->second);
        idle_.erase(idle_.begin());
    }
}

} // namespace clementinegap
