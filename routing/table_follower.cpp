#include "routing/table_follower.h"

#include "routing/scaled_duration.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

/// A change after this long without one is read at once, without batching.
constexpr duration idle_threshold = seconds(1);
constexpr duration min_retry_delay = milliseconds(60);
/// A configuration must be in force within two seconds of the store's recovery.
constexpr duration max_retry_delay = milliseconds(600);

} // namespace

const table_row* last_change(std::span<const table_row> changes, std::string_view key)
{
    const auto found = std::ranges::find(changes.rbegin(), changes.rend(), key, &table_row::key);
    return found == changes.rend() ? nullptr : &*found;
}

table_follower::table_follower(std::string table, std::uint64_t seed, duration batch_delay)
    : table_(std::move(table)), random_(static_cast<std::minstd_rand::result_type>(seed)),
      batch_delay_(batch_delay)
{
}

table_read table_follower::next_call() const
{
    table_read call;
    call.table = table_;
    if (following_) {
        call.what = table_read::kind::changes;
        call.after_version = version_;
        // After a failure the recovery of the store must be detected at once, not with the next change.
        const bool waits = reachable_ && !asks_at_once_;
        call.wait = waits ? std::min(change_wait, longest_wait_) : duration::zero();
        return call;
    }
    call.from_key = from_key_;
    return call;
}

table_read table_follower::begin_call(time_point now)
{
    auto read = next_call();
    const auto response_time =
        read.what == table_read::kind::listing ? listing_response_time : response_time_;
    call_ = call{now, read.wait, now + read.wait + response_time};
    return read;
}

void table_follower::on_response_begun(time_point now)
{
    if (call_) {
        call_->deadline = std::max(call_->deadline, now + listing_response_time);
    }
}

bool table_follower::ask_at_once()
{
    asks_at_once_ = true;
    const bool waits = call_ && call_->wait > longest_short_wait;
    wait_was_aborted_ = wait_was_aborted_ || waits;
    return waits;
}

bool table_follower::is_overtaken(time_point store_answered_at) const
{
    return call_ && call_->wait == duration::zero() && store_answered_at - call_->begun > min_response_time;
}

table_follower::progress table_follower::on_page(table_page page, time_point now)
{
    progress result;
    result.regained = !reachable_;
    result.overdue = std::exchange(wait_was_aborted_, false) && following_ && !page.rows.empty();
    reachable_ = true;
    asks_at_once_ = false;
    call_.reset();
    response_time_ = min_response_time;
    retry_delay_ = duration::zero();
    next_at_ = now;
    if (page.era && std::exchange(era_, page.era).value_or(*page.era) != *page.era) {
        following_ = false;
        from_key_.clear();
        restoring_ = true;
        return result;
    }
    result.era = era_;
    if (following_) {
        const bool was_idle = now - changed_at_ >= idle_threshold;
        if (!page.rows.empty()) {
            next_at_ = was_idle ? now : now + batch_delay_;
            changed_at_ = now;
        }
        version_ = std::max(version_, page.version);
        result.version = version_;
        result.changes = std::move(page.rows);
        return result;
    }
    // Changes made while later pages are read are followed from the version of the first page.
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
    result.is_snapshot = true;
    result.restored = std::exchange(restoring_, false);
    result.version = version_;
    result.changes = std::move(listing_);
    listing_.clear();
    return result;
}

table_follower::progress table_follower::on_failure(read_result result, time_point now)
{
    progress outcome;
    call_.reset();
    if (result == read_result::no_answer) {
        response_time_ = std::min(response_time_ * 2, max_response_time);
    }
    if (result == read_result::history_expired) {
        following_ = false;
        from_key_.clear();
        next_at_ = now;
        return outcome;
    }
    outcome.lost = reachable_;
    reachable_ = false;
    retry_delay_ = std::clamp<duration>(retry_delay_ * 2, min_retry_delay, max_retry_delay);
    next_at_ = now + scaled(retry_delay_, std::uniform_real_distribution<double>(0.5, 1.0)(random_));
    return outcome;
}

} // namespace clementinegap
