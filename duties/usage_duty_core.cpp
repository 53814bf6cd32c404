#include "duties/usage_duty_core.h"

#include <algorithm>
#include <functional>

namespace clementinegap {
namespace {

/// A window whose counts are not complete is recorded this long before its report is due.
constexpr duration time_to_record = milliseconds(2'500);
/// Within this time a new process hears every other daemon at least once: reports come every 0.1 to 2.4 s.
constexpr duration time_to_hear_all = seconds(5);
/// Each rank waits this much longer than the one before.
constexpr duration rank_delay = milliseconds(1'500);
constexpr std::size_t last_acting_rank = 3;
/// A report that is refused is given up this long after the end of its window.
constexpr duration give_up_after = seconds(30);
/// Interval of decisions while a report is outstanding.
constexpr duration decision_interval = milliseconds(100);
constexpr duration idle_interval = fleet_clock::longest_call_interval / 2;
/// A result that has not arrived by then counts as unknown; the owner of the connections gives up earlier.
constexpr duration longest_write = seconds(5);
constexpr duration late_call_result = seconds(1);
constexpr std::size_t windows_in_statement = 4;

std::uint64_t seed_of(const usage_settings& settings, std::uint64_t salt)
{
    return std::hash<std::string>()(settings.daemon) ^ settings.incarnation ^ salt;
}

} // namespace

usage_duty_core::usage_duty_core(usage_settings settings)
    : settings_(std::move(settings)), ranking_(settings_.daemon, settings_.incarnation),
      tenure_(settings_.daemon, settings_.lease_term), write_delay_(seed_of(settings_, 1)),
      send_delay_(seed_of(settings_, 2))
{
}

window_number usage_duty_core::window_at(time_point now) const
{
    return clock_.unix_ms(now) / to_milliseconds(settings_.window);
}

duration usage_duty_core::since_end(window_number window, time_point now) const
{
    return now - clock_.local((window + 1) * to_milliseconds(settings_.window));
}

void usage_duty_core::set_time(std::int64_t unix_ms, time_point now)
{
    clock_.set_own(unix_ms, now);
    if (!is_started_) {
        is_started_ = true;
        started_at_ = now;
        tenure_.start(now);
    }
    const auto current = window_at(now);
    ledger_.advance(current, queue_.sent());
    const usage_report running{current, {}};
    ledger_.state(settings_.daemon, settings_.incarnation, std::span(&running, 1));
}

void usage_duty_core::count(std::string_view workspace, std::int64_t unix_ms, time_point now)
{
    set_time(unix_ms, now);
    ledger_.count(settings_.daemon, settings_.incarnation, window_at(now), workspace);
}

void usage_duty_core::heard(std::string_view daemon, std::uint64_t incarnation, duration next_in,
                            const usage_statement& statement, time_point now)
{
    if (daemon != settings_.daemon) {
        clock_.heard(daemon, statement.unix_ms, now);
        ranking_.heard(daemon, incarnation, next_in, now);
    }
    ledger_.advance(window_at(now), queue_.sent());
    ledger_.state(daemon, incarnation, statement.windows);
    tenure_.heard(statement.duty, now);
    queue_.set_sent(statement.duty.sent);
}

usage_statement usage_duty_core::statement(std::int64_t unix_ms, time_point now)
{
    set_time(unix_ms, now);
    auto duty = tenure_.newest();
    duty.sent = queue_.sent();
    return {unix_ms, ledger_.of(settings_.daemon, settings_.incarnation, queue_.sent(), windows_in_statement),
            std::move(duty)};
}

std::span<const duty_action> usage_duty_core::on_event(const duty_event& event, std::int64_t unix_ms,
                                                       time_point now)
{
    actions_.clear();
    set_time(unix_ms, now);
    std::visit([&](const auto& occurred) { handle(occurred, now); }, event);
    void_overdue_steps(now);
    while (!queue_.empty() && queue_.front().is_contested) {
        queue_.set_sent(queue_.front().report.window);
    }
    if (was_holder_ && !tenure_.is_own()) {
        log("duty.lost", "the row has another holder or version");
    }
    was_holder_ = tenure_.is_own();
    update_outstanding(now);
    send_if_due(now);
    write_if_due(now);
    const auto window_end = clock_.local((window_at(now) + 1) * to_milliseconds(settings_.window));
    next_due_ = outstanding_ || writing_ || sending_ ? now + decision_interval
                                                     : std::min(window_end, now + idle_interval);
    return actions_;
}

void usage_duty_core::handle(const row_written& event, time_point now)
{
    if (writing_ && writing_->step == event.step) {
        writing_.reset();
    }
    if (const auto row = tenure_.written(event, now)) {
        adopt_own(*row, now);
    }
}

void usage_duty_core::handle(const row_conflict& event, time_point now)
{
    if (!writing_ || writing_->step != event.step) {
        return;
    }
    writing_.reset();
    const auto row = tenure_.conflicted(event, now);
    if (tenure_.is_row_older() && !tenure_.is_newest_own()) {
        first_to_record_ = window_at(now);
        log("duty.row_older", "the store has lost rows; windows before " + std::to_string(first_to_record_) +
                                  " are not recorded anew");
    }
    if (!row) {
        log("duty.row_malformed", row.error().message);
        return;
    }
    if (!row.value()) {
        return;
    }
    if (tenure_.is_own()) {
        adopt_own(*row.value(), now);
        return;
    }
    write_delay_.succeeded();
    queue_.adopt(*row.value(), false);
}

void usage_duty_core::handle(const row_unknown& event, time_point now)
{
    if (writing_ && writing_->step == event.step) {
        writing_.reset();
        next_write_at_ = now + write_delay_.failed();
    }
}

void usage_duty_core::handle(const usage_accepted& event, time_point now)
{
    if (!sending_ || sending_->step != event.step) {
        return;
    }
    const auto window = sending_->window;
    sending_.reset();
    send_delay_.succeeded();
    const bool is_own = !queue_.empty() && queue_.front().report.window == window && queue_.front().is_own;
    const bool is_late = since_end(window, now) > settings_.late;
    actions_.emplace_back(count_usage_window{!is_own   ? usage_result::repeated
                                             : is_late ? usage_result::late
                                                       : usage_result::sent});
    log("usage.sent", "window " + std::to_string(window));
    queue_.set_sent(window);
}

void usage_duty_core::handle(const usage_refused& event, time_point now)
{
    if (sending_ && sending_->step == event.step) {
        refused(event.reason, now);
    }
}

void usage_duty_core::handle(const tick& /*event*/, time_point /*now*/) {}

void usage_duty_core::refused(std::string_view reason, time_point now)
{
    const auto window = sending_->window;
    sending_.reset();
    next_send_at_ = now + send_delay_.failed();
    const bool is_given_up = since_end(window, now) > give_up_after;
    log("usage.call_failed",
        "window " + std::to_string(window) + ": " + std::string(reason) + (is_given_up ? "; given up" : ""));
    if (is_given_up) {
        queue_.set_sent(window);
    }
}

void usage_duty_core::adopt_own(const duty_row& row, time_point now)
{
    write_delay_.succeeded();
    next_write_at_ = now;
    if (!was_holder_) {
        log("duty.acquired", "token " + std::to_string(row.lease.number));
        send_delay_.succeeded();
        next_send_at_ = now;
    }
    for (const auto window : queue_.adopt(row, true)) {
        const bool is_complete = ledger_.is_complete(window);
        silent_daemons_ = ledger_.silent_daemons(window);
        if (!is_complete) {
            actions_.emplace_back(count_usage_window{usage_result::incomplete});
        }
        log("usage.recorded", "window " + std::to_string(window) + ", token " +
                                  std::to_string(row.lease.number) + (is_complete ? "" : ", incomplete"));
    }
}

void usage_duty_core::void_overdue_steps(time_point now)
{
    if (writing_ && now >= writing_->void_at) {
        writing_.reset();
        next_write_at_ = now + write_delay_.failed();
    }
    if (sending_ && now >= sending_->void_at) {
        refused("no result", now);
    }
}

std::optional<window_number> usage_duty_core::ready_window(window_number after, time_point now) const
{
    const auto window = std::max({after + 1, ledger_.first(), first_to_record_});
    if (window >= window_at(now)) {
        return std::nullopt;
    }
    const bool is_last_moment = since_end(window, now) >= settings_.late - time_to_record;
    // A holder that this daemon never hears may count requests, so its report goes first.
    const auto& holder = tenure_.newest().holder;
    const bool hears_holder = holder.empty() || ledger_.knows(holder);
    const bool knows_fleet = now >= started_at_ + time_to_hear_all;
    const bool is_complete = knows_fleet && hears_holder && ledger_.is_complete(window);
    return is_complete || is_last_moment ? std::optional(window) : std::nullopt;
}

std::optional<window_number> usage_duty_core::outstanding(time_point now) const
{
    return queue_.empty() ? ready_window(queue_.sent(), now) : queue_.front().report.window;
}

void usage_duty_core::update_outstanding(time_point now)
{
    const auto oldest = outstanding(now);
    if (oldest != outstanding_) {
        outstanding_ = oldest;
        outstanding_since_ = now;
    }
}

bool usage_duty_core::is_turn(time_point now) const
{
    // While others write the row, a daemon that hears less than half of the fleet leaves the reports to them.
    const bool others_write = !tenure_.is_own() && now < tenure_.known_since() + 2 * settings_.window;
    const auto rank = ranking_.rank(now);
    return outstanding_ && (!others_write || ledger_.hears_majority(window_at(now) - 2)) &&
           rank <= last_acting_rank &&
           now >= outstanding_since_ + static_cast<std::int64_t>(rank) * rank_delay;
}

void usage_duty_core::send_if_due(time_point now)
{
    if (sending_ || queue_.empty() || now < next_send_at_ || !tenure_.may_send(now)) {
        return;
    }
    const auto deadline = tenure_.send_deadline(now);
    sending_ = pending_step{++last_step_, deadline + late_call_result, queue_.front().report.window};
    actions_.emplace_back(
        send_usage{last_step_, settings_.daemon, tenure_.own_token(now), queue_.front().report, deadline});
}

bool usage_duty_core::should_hold(time_point now)
{
    return !queue_.empty() && !sending_ && now >= next_send_at_ && !tenure_.may_send(now) &&
           (tenure_.is_own() || is_turn(now));
}

std::vector<usage_report> usage_duty_core::reports_to_record(time_point now) const
{
    auto result = queue_.reports();
    auto last = queue_.newest();
    while (result.size() < reports_in_row) {
        const auto window = ready_window(last, now);
        if (!window) {
            break;
        }
        result.push_back(ledger_.total(*window));
        last = *window;
    }
    return result;
}

void usage_duty_core::write_if_due(time_point now)
{
    // A new token is not taken while a call with the old one may still be under way.
    const bool may_change_token = !sending_ || tenure_.holds(now);
    if (writing_ || now < next_write_at_ || !tenure_.may_write(now) || !may_change_token) {
        return;
    }
    const bool should_record =
        is_turn(now) && queue_.size() < reports_in_row && ready_window(queue_.newest(), now).has_value();
    if (should_record || should_hold(now)) {
        write(now);
    }
}

void usage_duty_core::write(time_point now)
{
    writing_ = pending_step{++last_step_, now + longest_write, 0};
    duty_row row;
    row.sent = queue_.sent();
    row.reports = reports_to_record(now);
    auto attempt = tenure_.try_write(last_step_, std::move(row), clock_.unix_ms(now), now);
    actions_.emplace_back(write_duty_row{last_step_, attempt.expected_version, to_row(attempt.row)});
}

void usage_duty_core::log(std::string event, std::string detail)
{
    actions_.emplace_back(log_duty{std::move(event), std::move(detail)});
}

} // namespace clementinegap
