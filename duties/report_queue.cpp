#include "duties/report_queue.h"

namespace clementinegap {

std::vector<window_number> report_queue::adopt(const duty_row& row, bool is_own)
{
    std::vector<window_number> added;
    set_sent(row.sent);
    for (const auto& report : row.reports) {
        if (report.window <= sent_) {
            continue;
        }
        const auto [at, is_new] = entries_.try_emplace(report.window, entry{report, is_own, false});
        if (is_new) {
            added.push_back(report.window);
        } else if (at->second.report != report) {
            at->second.is_contested = true;
        }
    }
    return added;
}

void report_queue::set_sent(window_number window)
{
    if (window <= sent_) {
        return;
    }
    sent_ = window;
    entries_.erase(entries_.begin(), entries_.upper_bound(window));
}

std::vector<usage_report> report_queue::reports() const
{
    std::vector<usage_report> result;
    for (const auto& [window, entry] : entries_) {
        if (result.size() < reports_in_row) {
            result.push_back(entry.report);
        }
    }
    return result;
}

} // namespace clementinegap
