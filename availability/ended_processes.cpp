#include "availability/ended_processes.h"

#include <algorithm>

namespace clementinegap {

bool ended_processes::extend(std::string_view upstream, std::int64_t incarnation, time_point ends_at,
                             time_point now)
{
    const bool is_new = !contains(upstream, incarnation, now);
    auto found = known_.find(upstream);
    if (found == known_.end()) {
        if (known_.size() >= max_entries) {
            return false;
        }
        found = known_.try_emplace(std::string(upstream)).first;
    }
    auto& known = found->second;
    if (known.incarnation != incarnation) {
        known = {incarnation, {}, {}};
    }
    known.ends_at = std::max(known.ends_at, ends_at);
    return is_new;
}

bool ended_processes::refused(std::string_view upstream, std::int64_t incarnation, time_point now)
{
    const bool is_new = extend(upstream, incarnation, now + own_lifetime, now);
    if (const auto found = known_.find(upstream); found != known_.end()) {
        found->second.refused_at = now;
    }
    return is_new;
}

bool ended_processes::heard(const ended_process& statement, time_point now)
{
    const auto ends_at = now - std::max(statement.age, duration::zero()) + heard_lifetime;
    return ends_at > now && extend(statement.upstream, statement.incarnation, ends_at, now);
}

void ended_processes::listed(std::string_view upstream, std::int64_t incarnation)
{
    const auto found = known_.find(upstream);
    if (found != known_.end() && found->second.incarnation != incarnation) {
        known_.erase(found);
    }
}

bool ended_processes::contains(std::string_view upstream, std::int64_t incarnation, time_point now) const
{
    const auto found = known_.find(upstream);
    return found != known_.end() && found->second.incarnation == incarnation && now < found->second.ends_at;
}

std::vector<ended_process> ended_processes::statements(time_point now) const
{
    std::vector<ended_process> result;
    for (const auto& [upstream, each] : known_) {
        const bool is_own = each.refused_at != time_point{} && now - each.refused_at < statement_lifetime;
        if (is_own && result.size() < max_statements) {
            result.push_back({upstream, each.incarnation, now - each.refused_at});
        }
    }
    return result;
}

void ended_processes::expire(time_point now)
{
    std::erase_if(known_, [&](const auto& each) {
        return each.second.ends_at <= now && now - each.second.refused_at >= statement_lifetime;
    });
}

} // namespace clementinegap
