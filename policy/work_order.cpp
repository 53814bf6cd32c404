#include "policy/work_order.h"

#include <algorithm>

namespace clementinegap {

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

void tiered_order::push(queued_work work)
{
    const auto position = rank_of(work);
    ranks_.emplace(work.id, position);
    queue_.emplace(position, std::move(work));
}

bool tiered_order::erase(std::uint64_t id)
{
    const auto found = ranks_.find(id);
    if (found == ranks_.end()) {
        return false;
    }
    queue_.erase(found->second);
    ranks_.erase(found);
    return true;
}

std::optional<queued_work> tiered_order::pop(time_point /*now*/)
{
    if (queue_.empty()) {
        return std::nullopt;
    }
    auto node = queue_.extract(queue_.begin());
    ranks_.erase(node.mapped().id);
    return std::move(node.mapped());
}

} // namespace clementinegap
