#include "routing/report_fanout.h"

namespace clementinegap {

void report_fanout::set_peers(const std::vector<std::string>& daemons)
{
    std::map<std::string, peer, std::less<>> next;
    for (const auto& each : daemons) {
        const auto known = peers_.find(each);
        next[each] = known == peers_.end() ? peer{} : known->second;
    }
    peers_ = std::move(next);
}

void report_fanout::on_report(std::string_view daemon, std::uint32_t zone, duration valid_for, time_point now)
{
    const auto known = peers_.find(daemon);
    if (known != peers_.end()) {
        known->second = {zone, true, now + valid_for};
    }
}

std::vector<report_fanout::target> report_fanout::next(time_point now)
{
    std::vector<target> result;
    std::map<std::uint32_t, std::vector<std::string_view>> alive_by_zone;
    for (const auto& [name, each] : peers_) {
        const bool is_far = each.zone_known && each.zone != zone_ && now < each.valid_until;
        if (is_far) {
            alive_by_zone[each.zone].push_back(name);
        } else {
            result.push_back({name, false});
        }
    }
    for (const auto& [zone, names] : alive_by_zone) {
        result.push_back({std::string(names[round_ % names.size()]), names.size() > 1});
    }
    ++round_;
    return result;
}

std::vector<std::string> report_fanout::within_zone(std::string_view origin) const
{
    std::vector<std::string> result;
    for (const auto& [name, each] : peers_) {
        const bool is_near = !each.zone_known || each.zone == zone_;
        if (is_near && name != origin) {
            result.push_back(name);
        }
    }
    return result;
}

} // namespace clementinegap
