#include "routing/table_follower.h"

#include "routing/scaled_duration.h"

#include <algorithm>

namespace clementinegap {
namespace {

/// Each call is priced, so an idle one lasts long; the store allows 30 s.
constexpr duration change_wait = seconds(20);
/// A change that comes after so long a silence is read at once.
constexpr duration quiet_time = seconds(1);
constexpr duration first_pause = milliseconds(60);
/// A configuration must be in force two seconds after the store is back.
constexpr duration longest_pause = milliseconds(600);

} // namespace

table_follower::table_follower(std::string table, std::uint64_t seed, duration batch_pause)
    : table_(std::move(table)), random_(static_cast<std::minstd_rand::result_type>(seed)),
      batch_pause_(batch_pause)
{
}

table_read table_follower::next_call() const
{
    table_read call;
    call.table = table_;
    if (following_) {
        call.what = table_read::kind::changes;
        call.after_version = version_;
        // After a failure the return of the store must be known at once, not at the next change.
        call.wait = reachable_ ? change_wait : duration::zero();
        return call;
    }
    call.from_key = from_key_;
    return call;
}

table_follower::progress table_follower::on_page(table_page page, time_point now)
{
    progress result;
    result.regained = !reachable_;
    reachable_ = true;
    pause_ = duration::zero();
    next_at_ = now;
    if (following_) {
        const bool quiet_before = now - changed_at_ >= quiet_time;
        if (!page.rows.empty()) {
            next_at_ = quiet_before ? now : now + batch_pause_;
            changed_at_ = now;
        }
        version_ = std::max(version_, page.version);
        result.version = version_;
        result.changes = std::move(page.rows);
        return result;
    }
    // Changes that come while later pages are read are followed from the version of the first page.
    if (from_key_.empty()) {
        listing_version_ = page.version;
        listing_.clear();
    }
    std::move(page.rows.begin(), page.rows.end(), std::back_inserter(listing_));
    if (page.has_more && !listing_.empty()) {
        from_key_ = listing_.back().key + '\0';
        return result;
    }
    following_ = true;
    version_ = listing_version_;
    from_key_.clear();
    result.whole = true;
    result.version = version_;
    result.changes = std::move(listing_);
    listing_.clear();
    return result;
}

table_follower::progress table_follower::on_no_page(read_result result, time_point now)
{
    progress outcome;
    if (result == read_result::history_gone) {
        following_ = false;
        from_key_.clear();
        next_at_ = now;
        return outcome;
    }
    outcome.lost = reachable_;
    reachable_ = false;
    pause_ = std::clamp<duration>(pause_ * 2, first_pause, longest_pause);
    next_at_ = now + scaled(pause_, std::uniform_real_distribution<double>(0.5, 1.0)(random_));
    return outcome;
}

} // namespace clementinegap
