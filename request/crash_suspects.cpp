#include "request/crash_suspects.h"

#include <utility>

namespace clementinegap {
namespace {

constexpr duration crash_window =
    seconds(1); ///< Runs that break within this time are attributed to the same crash.

bool is_active(const upstream_attempt& attempt)
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
        return is_active(other) && is_suspect(other);
    });
}

std::vector<upstream_attempt_ptr> crash_suspects::take_deferred(const upstream_attempt_ptr& ended)
{
    std::erase(deferred_, ended);
    return std::exchange(deferred_, {});
}

void crash_suspects::on_engine_crash()
{
    if (last_crash_at_ != time_point{} && context_.now < last_crash_at_ + crash_window) {
        return;
    }
    last_crash_at_ = context_.now;
    std::vector<std::string> running;
    for (const auto& attempt : attempts_.where(&upstream_attempt::at_engine)) {
        running.push_back(attempt->reservation.fingerprint);
    }
    for (auto& item : poison_.on_crash(running, context_.now)) {
        context_.act(publish_item{std::move(item)});
    }
}

void crash_suspects::on_run_completed(const upstream_attempt& attempt)
{
    if (auto cleared = poison_.on_success(attempt.reservation.fingerprint, context_.now)) {
        context_.act(publish_item{std::move(*cleared)});
    }
}

} // namespace clementinegap
