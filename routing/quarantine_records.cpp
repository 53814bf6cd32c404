#include "routing/quarantine_records.h"

namespace clementinegap {

void quarantine_records::listed(std::span<const std::uint64_t> parts)
{
    listed_ = true;
    recorded_ = {parts.begin(), parts.end()};
}

quarantine_records::changes quarantine_records::due(std::span<const quarantined_part> quarantined,
                                                    std::span<const std::string> others, time_point now)
{
    changes result;
    if (!listed_) {
        return result;
    }
    std::set<std::uint64_t> differing;
    std::set<std::uint64_t> wanted;
    for (const auto& each : quarantined) {
        wanted.insert(each.part);
        if (recorded_.contains(each.part)) {
            continue;
        }
        differing.insert(each.part);
        if (turns_.is_due(each.part, others, now)) {
            result.write.push_back(each);
        }
    }
    for (const auto part : recorded_) {
        if (wanted.contains(part)) {
            continue;
        }
        differing.insert(part);
        if (turns_.is_due(part, others, now)) {
            result.remove.push_back(part);
        }
    }
    turns_.retain(differing);
    return result;
}

} // namespace clementinegap
