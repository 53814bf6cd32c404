#include "fencing_rules.h"

#include <map>

namespace clementinegap {

std::string broken_rule(std::span<const received_call> calls, duration lease_term)
{
    std::map<window_number, usage_report> reports;
    std::map<std::uint64_t, std::string> holders;
    std::map<std::string, time_point> last_call;
    const received_call* before = nullptr;
    for (const auto& call : calls) {
        const auto where = " at " + std::to_string(to_milliseconds(call.at.time_since_epoch())) +
                           " ms, window " + std::to_string(call.report.window) + ", holder " + call.holder;
        if (reports.try_emplace(call.report.window, call.report).first->second != call.report) {
            return "two reports of one window" + where;
        }
        if (holders.try_emplace(call.token, call.holder).first->second != call.holder) {
            return "two holders with one token" + where;
        }
        if (before != nullptr && call.token < before->token) {
            return "lower token after a higher one" + where;
        }
        const auto earlier = last_call.find(call.holder);
        const bool has_changed = before != nullptr && before->holder != call.holder;
        if (has_changed && earlier != last_call.end() && call.at - earlier->second < lease_term) {
            return "holders A, B, A within the term" + where;
        }
        last_call[call.holder] = call.at;
        before = &call;
    }
    return {};
}

} // namespace clementinegap
