#include "routing/suspicion_record.h"

#include "policy/poison.h"

namespace clementinegap {

void suspicion_record::observed(const soft_state_item& item, time_point now)
{
    const auto crashes = poison_tracker::crashes_in(item);
    if (!crashes) {
        return;
    }
    if (*crashes == 0) {
        withdraw(item.key, now);
        return;
    }
    observed_[item.key] = {*crashes, now, now + item.lifetime};
    if (observed_.size() > max_suspicions) {
        observed_.erase(
            std::ranges::min_element(observed_, {}, [](const auto& each) { return each.second.at; }));
    }
    request_write(std::max(now, written_at_ + min_write_interval));
}

void suspicion_record::received(const soft_state_item& item, time_point now)
{
    if (poison_tracker::crashes_in(item) == 0U) {
        withdraw(item.key, now);
    }
}

void suspicion_record::withdraw(const std::string& fingerprint, time_point now)
{
    if (observed_.erase(fingerprint) > 0) {
        request_write(now + withdrawal_delay);
    }
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

std::optional<std::vector<suspicion>> suspicion_record::due(time_point now)
{
    if (!restored_ || now < write_at_) {
        return std::nullopt;
    }
    write_at_ = never;
    written_at_ = now;
    std::erase_if(observed_, [&](const auto& each) { return now >= each.second.expires_at; });
    std::vector<suspicion> row;
    for (const auto& [fingerprint, each] : observed_) {
        row.push_back({fingerprint, each.crashes, now - each.at});
    }
    return row;
}

} // namespace clementinegap
