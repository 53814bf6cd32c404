#include "request/crash_suspects.h"

#include <utility>

namespace clementinegap {
namespace {

constexpr duration crash_window = seconds(1); ///< Runs that break within it broke in the same crash.

bool is_out(const upstream_attempt& attempt)
{
    return attempt.holds_slot() || attempt.at_engine() || attempt.phase == attempt_phase::claiming ||
           attempt.phase == attempt_phase::claimed;
}

} // namespace

bool crash_suspects::must_wait(const upstream_attempt& attempt) const
{
    const auto is_suspect = [this](const upstream_attempt& one) {
        return poison_.is_suspect(one.reservation.fingerprint, context_.now);
    };
    return is_suspect(attempt) && attempts_.any_of([&](const upstream_attempt& other) {
        return is_out(other) && is_suspect(other);
    });
}

std::vector<upstream_attempt_ptr> crash_suspects::take_parked(const upstream_attempt_ptr& ended)
{
    std::erase(parked_, ended);
    return std::exchange(parked_, {});
}

void crash_suspects::engine_broke()
{
    if (blamed_at_ != time_point{} && context_.now < blamed_at_ + crash_window) {
        return;
    }
    blamed_at_ = context_.now;
    std::vector<std::string> running;
    for (const auto& attempt : attempts_.where(&upstream_attempt::at_engine)) {
        running.push_back(attempt->reservation.fingerprint);
    }
    for (auto& item : poison_.on_crash(running, context_.now)) {
        context_.act(publish_item{std::move(item)});
    }
}

void crash_suspects::ended_well(const upstream_attempt& attempt)
{
    if (auto cleared = poison_.on_success(attempt.reservation.fingerprint, context_.now)) {
        context_.act(publish_item{std::move(*cleared)});
    }
}

} // namespace clementinegap
