#include "routing/row_confirmation.h"

#include "routing/table_follower.h"

#include <algorithm>

namespace clementinegap {
namespace {

/// For settings that name no bound.
constexpr duration default_bound = seconds(2);
/// Delay between the checks of two daemons that follow each other in the ranking, so that the first one's
/// answer spares the others theirs.
constexpr duration turn = milliseconds(150);
constexpr std::size_t max_turns = 5;
/// Reports of the first daemon that have to be missed before others take its place.
constexpr int missed_reports = 2;

} // namespace

row_confirmation::row_confirmation(duration bound) : bound_(bound > duration::zero() ? bound : default_bound)
{
}

duration row_confirmation::interval() const
{
    return std::min<duration>(bound_ / 4, table_follower::longest_short_wait);
}

duration row_confirmation::longest_wait(std::size_t rank) const
{
    return rank == 0 ? interval() : table_follower::change_wait;
}

bool row_confirmation::is_due(std::size_t rank, duration report_interval, time_point now) const
{
    const auto reported_after =
        rank == 0 ? duration::zero() : std::min<duration>(report_interval * missed_reports, interval());
    const auto turns = static_cast<duration::rep>(std::min(rank, max_turns));
    return now - confirmed_at_ >= interval() + reported_after + turn * turns;
}

} // namespace clementinegap
