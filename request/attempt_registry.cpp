#include "request/attempt_registry.h"

namespace clementinegap {

upstream_attempt_ptr attempt_registry::make()
{
    auto attempt = std::make_shared<upstream_attempt>();
    attempt->id = ++last_number_;
    return attempt;
}

void attempt_registry::add(const upstream_attempt_ptr& attempt)
{
    attempts_.emplace(attempt->reservation.attempt, attempt);
    runs_.emplace(attempt->id, attempt);
}

void attempt_registry::erase(const upstream_attempt& attempt, ran_state ran)
{
    const auto name = attempt.reservation.attempt;
    remember(name, ran);
    runs_.erase(attempt.id);
    attempts_.erase(name);
}

void attempt_registry::remember(attempt_id attempt, ran_state ran)
{
    if (!ended_.emplace(attempt, ran).second) {
        return;
    }
    ended_order_.push_back(attempt);
    if (ended_order_.size() > max_remembered_) {
        ended_.erase(ended_order_.front());
        ended_order_.pop_front();
    }
}

upstream_attempt_ptr attempt_registry::find(attempt_id attempt) const
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : found->second;
}

upstream_attempt_ptr attempt_registry::find_run(run_id run) const
{
    const auto found = runs_.find(run);
    return found == runs_.end() ? nullptr : found->second;
}

std::optional<ran_state> attempt_registry::ended_state(attempt_id attempt) const
{
    const auto found = ended_.find(attempt);
    return found == ended_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace clementinegap
