#include "duties/usage_ledger.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr window_number windows_kept = 12;
/// Daemons are remembered longer, so that one that hears nobody does not soon take itself for the whole
/// fleet.
constexpr window_number daemons_kept = 120;
/// Bounds the memory that callers with ever new workspaces can take.
constexpr std::size_t workspaces_kept = 4'096;

} // namespace

bool usage_ledger::is_kept(window_number window) const
{
    return window > sent_ && window > current_ - windows_kept && window <= current_ + windows_kept;
}

bool usage_ledger::count(std::string_view daemon, std::uint64_t incarnation, window_number window,
                         std::string_view workspace)
{
    if (!is_kept(window)) {
        return false;
    }
    auto& counted = windows_[window][process(daemon, incarnation)];
    const auto found = counted.find(workspace);
    if (found != counted.end()) {
        ++found->second;
        return true;
    }
    if (counted.size() >= workspaces_kept) {
        return false;
    }
    counted.emplace(workspace, 1);
    return true;
}

void usage_ledger::state(std::string_view daemon, std::uint64_t incarnation,
                         std::span<const usage_report> windows)
{
    for (const auto& stated : windows) {
        if (stated.window <= current_ - windows_kept || stated.window > current_ + windows_kept) {
            continue;
        }
        auto& newest = newest_.try_emplace(std::string(daemon), stated.window).first->second;
        newest = std::max(newest, stated.window);
        first_ = first_ == 0 ? stated.window : std::min(first_, stated.window);
        if (!is_kept(stated.window) || stated.counts.empty()) {
            continue;
        }
        auto& counted = windows_[stated.window][process(daemon, incarnation)];
        for (const auto& [workspace, count] : stated.counts) {
            if (counted.size() < workspaces_kept || counted.contains(workspace)) {
                auto& known = counted[workspace];
                known = std::max(known, count);
            }
        }
    }
}

std::vector<usage_report> usage_ledger::of(std::string_view daemon, std::uint64_t incarnation,
                                           window_number sent, std::size_t limit) const
{
    std::vector<usage_report> result;
    const auto oldest = std::max(sent + 1, current_ - static_cast<window_number>(limit) + 1);
    for (auto at = windows_.lower_bound(oldest); at != windows_.end() && at->first <= current_; ++at) {
        const auto found = at->second.find(process(daemon, incarnation));
        if (found != at->second.end()) {
            result.push_back({at->first, {found->second.begin(), found->second.end()}});
        }
    }
    if (result.empty() || result.back().window != current_) {
        result.push_back({current_, {}});
    }
    return result;
}

usage_report usage_ledger::total(window_number window) const
{
    usage_report result{window, {}};
    const auto found = windows_.find(window);
    if (found == windows_.end()) {
        return result;
    }
    for (const auto& [process, counted] : found->second) {
        for (const auto& [workspace, count] : counted) {
            result.counts[workspace] += count;
        }
    }
    return result;
}

std::size_t usage_ledger::silent_daemons(window_number window) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        newest_, [&](const auto& daemon) { return daemon.second == window || daemon.second == window - 1; }));
}

bool usage_ledger::hears_majority(window_number window) const
{
    const auto stated = static_cast<std::size_t>(
        std::ranges::count_if(newest_, [&](const auto& daemon) { return daemon.second > window; }));
    return 2 * stated > newest_.size();
}

void usage_ledger::advance(window_number current, window_number sent)
{
    current_ = current;
    sent_ = std::max(sent_, sent);
    std::erase_if(windows_, [&](const auto& window) { return !is_kept(window.first); });
    std::erase_if(newest_, [&](const auto& daemon) { return daemon.second <= current_ - daemons_kept; });
    if (first_ != 0) {
        first_ = std::max(first_, current_ - windows_kept + 1);
    }
}

} // namespace clementinegap
