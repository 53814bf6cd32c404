#include "duties/duty_tenure.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementinegap {
namespace {

/// Covers the difference in rate of two local clocks over one term.
constexpr duration take_over_margin = milliseconds(100);
/// A call is sent only if the lease still lasts for this long.
constexpr duration lease_left_to_send = milliseconds(500);
/// A call is aborted this long before the lease ends.
constexpr duration send_margin = milliseconds(200);
constexpr duration longest_send = seconds(1);
/// A malformed row must be removed by an operator; until then it is looked at this often.
constexpr duration malformed_row_pause = seconds(10);
/// Writes whose result may still become known.
constexpr std::size_t attempts_kept = 8;

bool is_newer(const duty_statement& left, const duty_statement& right)
{
    return std::tie(left.token, left.version) > std::tie(right.token, right.version);
}

} // namespace

duty_tenure::duty_tenure(std::string daemon, duration term)
    : daemon_(std::move(daemon)), term_(term), lease_(daemon_, term)
{
}

void duty_tenure::start(time_point now)
{
    known_.since = now;
}

bool duty_tenure::is_own_attempt(const duty_statement& statement) const
{
    return statement.holder == daemon_ && std::ranges::any_of(attempts_, [&](const open_attempt& attempt) {
               return attempt.row.lease.number == statement.token;
           });
}

void duty_tenure::learn(known_row row)
{
    if (!row.is_own) {
        lease_.lost();
        attempts_.clear();
    }
    tokens_.admit(row.token);
    const duty_statement statement{row.holder, row.token, row.version, 0};
    if (is_newer(statement, newest_)) {
        newest_ = statement;
        is_newest_own_ = row.is_own;
    }
    known_ = std::move(row);
}

void duty_tenure::heard(const duty_statement& statement, time_point now)
{
    // The row of an own attempt that another daemon has read becomes known as own by the next write's
    // conflict.
    if (is_own_attempt(statement) || !is_newer(statement, newest_)) {
        return;
    }
    learn({statement.version, statement.holder, statement.token, std::nullopt, now, false, false});
}

bool duty_tenure::is_new_era(std::uint64_t era)
{
    if (era == 0) {
        return false;
    }
    const auto before = std::exchange(era_, era);
    return before != 0 && era != before;
}

outcome<std::optional<duty_row>> duty_tenure::conflicted(const row_conflict& event, time_point now)
{
    is_row_older_ = is_new_era(event.era);
    if (event.version == 0) {
        is_row_older_ = is_row_older_ || newest_.version != 0;
        if (known_.version != 0 || is_row_older_) {
            learn({0, "", 0, std::nullopt, now, false, false});
        }
        return std::optional<duty_row>();
    }
    const auto parsed = duty_row_from(event.value);
    if (!parsed) {
        learn({0, "", 0, std::nullopt, now, false, true});
        return parsed.error();
    }
    const auto& row = parsed.value();
    const auto own = std::ranges::find(attempts_, event.value, &open_attempt::value);
    if (own != attempts_.end() && !is_row_older_) {
        return std::optional(granted(static_cast<std::size_t>(own - attempts_.begin()), event.version, now));
    }
    is_row_older_ =
        is_row_older_ || is_newer(newest_, {row.lease.holder, row.lease.number, event.version, 0});
    const bool is_known = !is_row_older_ && event.version == known_.version &&
                          row.lease.holder == known_.holder && row.lease.number == known_.token &&
                          (!known_.value || *known_.value == event.value);
    if (is_known) {
        known_.value = event.value;
    } else {
        learn({event.version, row.lease.holder, row.lease.number, event.value, now, false, false});
    }
    return std::optional(row);
}

std::optional<duty_row> duty_tenure::written(const row_written& event, time_point now)
{
    const auto found = std::ranges::find(attempts_, event.step, &open_attempt::step);
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    const auto index = static_cast<std::size_t>(found - attempts_.begin());
    if (!is_new_era(event.era)) {
        return granted(index, event.version, now);
    }
    auto attempt = std::move(*found);
    learn({event.version, daemon_, attempt.row.lease.number, std::move(attempt.value), now, false, false});
    return std::nullopt;
}

duty_row duty_tenure::granted(std::size_t index, std::uint64_t version, time_point now)
{
    auto attempt = std::move(attempts_[index]);
    attempts_.clear();
    lease_ = std::move(attempt.state);
    lease_.granted();
    lease_ends_ = attempt.requested_at + term_;
    learn({version, daemon_, attempt.row.lease.number, std::move(attempt.value), now, true, false});
    return std::move(attempt.row);
}

time_point duty_tenure::may_write_at() const
{
    if (known_.is_own) {
        return known_.since;
    }
    return known_.since + (known_.is_malformed ? malformed_row_pause : term_ + take_over_margin);
}

duty_tenure::attempt duty_tenure::try_write(std::uint64_t step, duty_row content, std::int64_t unix_ms,
                                            time_point now)
{
    auto state = lease_;
    auto wanted = holds(now) ? state.renew(now) : std::nullopt;
    if (!wanted) {
        std::optional<lease_row> current;
        if (known_.version != 0) {
            // Its own observation shows that the lease has ended.
            current = lease_row{known_.holder, known_.token, 0};
        }
        const auto above_known = std::max(tokens_.highest(), last_tried_) + 1;
        wanted = state.acquire(
            current, now,
            std::max(above_known, static_cast<std::uint64_t>(std::max<std::int64_t>(unix_ms, 0))));
        last_tried_ = wanted->number;
    }
    content.lease = *wanted;
    if (attempts_.size() >= attempts_kept) {
        attempts_.erase(attempts_.begin());
    }
    attempts_.push_back({step, std::move(state), now, content, to_row(content)});
    // The reports of a row that is known from statements only are learned from the refusal.
    const bool must_read = known_.version != 0 && !known_.value;
    const auto expected_version = must_read ? no_row_version : known_.version;
    return {expected_version, std::move(content)};
}

bool duty_tenure::may_send(time_point now)
{
    if (!holds(now) || now + lease_left_to_send > lease_ends_) {
        return false;
    }
    return tokens_.admit(*lease_.number(now));
}

time_point duty_tenure::send_deadline(time_point now) const
{
    return std::min(now + longest_send, lease_ends_ - send_margin);
}

} // namespace clementinegap
