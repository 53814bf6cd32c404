#include "routing/suspicion_record.h"

#include "policy/poison.h"

#include <functional>
#include <utility>

namespace clementinegap {

void suspicion_record::observed(const soft_state_item& item, time_point now)
{
    const auto crashes = poison_tracker::crashes_in(item);
    if (!crashes) {
        return;
    }
    if (*crashes == 0) {
        heard_.erase(item.key);
    }
    observed_[item.key] = {*crashes, now, now + item.lifetime};
    if (observed_.size() > max_suspicions) {
        observed_.erase(
            std::ranges::min_element(observed_, {}, [](const auto& each) { return each.second.at; }));
    }
    const bool is_withdrawal = *crashes == 0;
    request_write(is_withdrawal ? now + min_write_interval : std::max(now, written_at_ + min_write_interval));
}

void suspicion_record::received(const soft_state_item& item, time_point now)
{
    const auto crashes = poison_tracker::crashes_in(item);
    if (crashes.value_or(0) > 0 && item.value.ends_with(recorded_mark) && heard_.size() < max_suspicions) {
        heard_[item.key] = {*crashes, now, now + item.lifetime};
    }
    if (crashes == 0U) {
        heard_.erase(item.key);
        if (observed_.erase(item.key) > 0) {
            request_write(now + min_write_interval);
        }
    }
}

void suspicion_record::heard(std::span<const suspicion> recorded, time_point now)
{
    const auto lifetime = poison_settings{}.lifetime;
    for (const auto& each : recorded) {
        if (heard_.size() < max_suspicions) {
            heard_[each.fingerprint] = {each.crashes, now - each.age, now - each.age + lifetime};
        }
    }
}

std::vector<suspicion> suspicion_record::merge(std::span<const suspicion> recorded)
{
    std::map<std::string, duration> ended_well; // Ages.
    for (const auto& each : recorded) {
        if (each.crashes == 0) {
            auto& age = ended_well.try_emplace(each.fingerprint, each.age).first->second;
            age = std::min(age, each.age);
        }
    }
    std::map<std::string, suspicion> result;
    for (const auto& each : recorded) {
        const auto cleared = ended_well.find(each.fingerprint);
        if (each.crashes == 0 || (cleared != ended_well.end() && cleared->second <= each.age)) {
            continue;
        }
        auto& known = result.try_emplace(each.fingerprint, each).first->second;
        if (known.crashes < each.crashes) {
            known = each;
        }
    }
    std::vector<suspicion> merged;
    for (auto& [fingerprint, each] : result) {
        merged.push_back(std::move(each));
    }
    return merged;
}

void suspicion_record::restore(std::span<const suspicion> recorded, time_point now)
{
    restored_ = true;
    const auto lifetime = poison_settings{}.lifetime;
    for (const auto& each : recorded) {
        if (each.age < lifetime) {
            const auto at = now - each.age;
            observed_.try_emplace(each.fingerprint, observation{each.crashes, at, at + lifetime});
        }
    }
}

std::vector<std::string> suspicion_record::to_tell(time_point now) const
{
    std::vector<std::pair<std::uint32_t, std::string>> suspected;
    for (const auto& [fingerprint, each] : observed_) {
        if (each.crashes > 0 && now < each.expires_at) {
            suspected.emplace_back(each.crashes, fingerprint);
        }
    }
    for (const auto& [fingerprint, each] : heard_) {
        if (now < each.expires_at && !observed_.contains(fingerprint)) {
            suspected.emplace_back(each.crashes, fingerprint);
        }
    }
    std::ranges::sort(suspected, std::greater{});
    suspected.resize(std::min(suspected.size(), max_told));
    std::vector<std::string> result;
    for (auto& [crashes, fingerprint] : suspected) {
        result.push_back(std::move(fingerprint));
    }
    return result;
}

std::optional<std::vector<suspicion>> suspicion_record::due(time_point now)
{
    if (!restored_ || now < write_at_) {
        return std::nullopt;
    }
    write_at_ = never;
    written_at_ = now;
    std::erase_if(observed_, [&](const auto& each) { return now >= each.second.expires_at; });
    std::erase_if(heard_, [&](const auto& each) { return now >= each.second.expires_at; });
    std::vector<suspicion> row;
    for (const auto& [fingerprint, each] : observed_) {
        row.push_back({fingerprint, each.crashes, now - each.at});
    }
    return row;
}

} // namespace clementinegap
