#include "policy/fair_queue.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::size_t max_idle_flows = 4096;

} // namespace

fair_queue::flow& fair_queue::flow_of(const std::string& workspace)
{
    auto [found, fresh] = flows_.try_emplace(workspace);
    if (fresh) {
        found->second.service = floor_;
        idle_.emplace(found->second.service, workspace);
    }
    return found->second;
}

std::set<fair_queue::service_rank>& fair_queue::set_of(const flow& value)
{
    if (value.empty()) {
        return idle_;
    }
    return value.late ? late_ : fresh_;
}

void fair_queue::leave_sets(const std::string& workspace, const flow& value)
{
    set_of(value).erase({value.service, workspace});
}

void fair_queue::join_set(const std::string& workspace, const flow& value)
{
    set_of(value).emplace(value.service, workspace);
}

void fair_queue::push(queued_work work, time_point now)
{
    if (ranks_.empty()) {
        unserved_since_ = now;
    }
    starvation_bound_ = work.starvation_bound;
    auto& target = flow_of(work.workspace);
    leave_sets(work.workspace, target);
    if (target.empty()) {
        target.service = std::max(target.service, floor_);
    }
    target.late = false;
    const rank at{work.target_at, work.id};
    ranks_.emplace(work.id, position{work.workspace, at});
    if (!work.set_aside) {
        refusable_.emplace(at);
    }
    const auto workspace = work.workspace;
    auto& queue = work.set_aside ? target.set_aside : target.queue;
    queue.emplace(at, std::move(work));
    join_set(workspace, target);
}

bool fair_queue::erase(std::uint64_t id)
{
    const auto found = ranks_.find(id);
    if (found == ranks_.end()) {
        return false;
    }
    const auto where = std::move(found->second);
    ranks_.erase(found);
    refusable_.erase(where.at);
    auto& source = flows_.at(where.workspace);
    leave_sets(where.workspace, source);
    source.queue.erase(where.at);
    source.set_aside.erase(where.at);
    join_set(where.workspace, source);
    forget_idle();
    return true;
}

fair_queue::flow* fair_queue::next_flow(time_point horizon)
{
    while (!fresh_.empty()) {
        auto& candidate = flows_.at(fresh_.begin()->second);
        const bool on_time = !candidate.set_aside.empty() || candidate.queue.rbegin()->first.first > horizon;
        if (on_time) {
            return &candidate;
        }
        // Its newest work is late, so all of it is; it goes behind until something new comes.
        candidate.late = true;
        late_.insert(fresh_.extract(fresh_.begin()));
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
    const bool slice_due = !source.set_aside.empty() && source.set_aside.begin()->first.first <= horizon;
    if (slice_due) {
        return source.set_aside.begin()->second;
    }
    const auto on_time = source.queue.upper_bound({horizon, UINT64_MAX});
    if (on_time != source.queue.end()) {
        return on_time->second;
    }
    return source.set_aside.empty() ? source.queue.begin()->second : source.set_aside.begin()->second;
}

std::optional<queued_work> fair_queue::pop(time_point horizon, time_point now)
{
    const auto* next = peek(horizon);
    if (next == nullptr) {
        return std::nullopt;
    }
    auto work = *next;
    floor_ = std::max(floor_, flows_.at(work.workspace).service);
    erase(work.id);
    unserved_since_ = now;
    return work;
}

const queued_work* fair_queue::last() const
{
    if (refusable_.empty()) {
        return nullptr;
    }
    const auto& where = ranks_.at(refusable_.rbegin()->second);
    return &flows_.at(where.workspace).queue.at(where.at);
}

void fair_queue::charge(const std::string& workspace, double weight, double tokens)
{
    auto& payer = flow_of(workspace);
    leave_sets(workspace, payer);
    payer.service += tokens / std::max(weight, 1e-6);
    join_set(workspace, payer);
    forget_idle();
}

void fair_queue::forget_idle()
{
    while (idle_.size() > max_idle_flows) {
        flows_.erase(idle_.begin()->second);
        idle_.erase(idle_.begin());
    }
}

} // namespace clementinegap
