#include "router/store_tables.h"

#include "platform/header_names.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementinegap {
namespace {

std::string table_name(store_tables::table which)
{
    switch (which) {
    case store_tables::table::configuration:
        return std::string(platform_names::configuration_table);
    case store_tables::table::directory:
        return std::string(platform_names::directory_table);
    case store_tables::table::daemons:
        break;
    }
    return std::string(store_tables::daemons_table);
}

relay_status initial_offer(const store_tables::settings& options)
{
    relay_status offer;
    offer.zone = zone_number(options.zone);
    offer.link_mbps = options.link_mbps;
    return offer;
}

} // namespace

store_tables::store_tables(event_loop& loop, const settings& options, callback on_progress,
                           std::function<void(std::string_view, std::string_view)> log,
                           row_relay::configuration_source configuration)
    : own_offer_(initial_offer(options)), on_progress_(std::move(on_progress)), log_(std::move(log)),
      source_(options.daemon, own_offer_, options.use_relays),
      relay_(loop, std::move(configuration)), readers_{make_reader(loop, options, table::configuration),
                                                       make_reader(loop, options, table::directory),
                                                       make_reader(loop, options, table::daemons)},
      confirmations_{
          {{row_confirmation(options.configuration_bound)}, {row_confirmation(options.directory_bound)}}}
{
}

table_reader store_tables::make_reader(event_loop& loop, const settings& options, table which)
{
    const auto batch_delay =
        which == table::daemons ? daemons_batch_pause : table_follower::default_batch_delay;
    return {loop, options.store,
            table_follower(table_name(which), options.seed + static_cast<std::uint64_t>(which), batch_delay),
            [this, which](table_follower::progress read) { on_read(which, std::move(read)); },
            [this, which](const table_reader::call_result& result) { on_call_result(which, result); }};
}

void store_tables::run(time_point now)
{
    notice_suspension(now);
    if (now >= next_source_check_) {
        next_source_check_ = now + source_check_interval;
        choose_source(now);
        check_rows(now);
    }
    for (auto& each : readers_) {
        each.run(now);
    }
}

time_point store_tables::due() const
{
    auto due = next_source_check_;
    for (const auto& each : readers_) {
        due = std::min(due, each.due());
    }
    return due;
}

void store_tables::choose_source(time_point now)
{
    const auto relay = peers_.find(source_.choose(now));
    const auto chosen_name = relay == peers_.end() ? std::string_view() : std::string_view(relay->first);
    if (chosen_name != source_name_) {
        source_name_ = chosen_name;
        log_("rows.source", chosen_name.empty() ? "store" : chosen_name);
    }
    for (auto& each : readers_) {
        each.read_from(relay == peers_.end() ? std::nullopt : std::optional(relay->second));
    }
    relay_.set_serving(offer(now).serves);
}

void store_tables::check_rows(time_point now)
{
    const bool reads_store = source_name_.empty();
    for (const auto which : bounded_tables) {
        if (!reads_store) {
            reader(which).set_longest_wait(table_follower::change_wait);
            continue;
        }
        const auto& confirmed = confirmation(which).by_any_daemon;
        const auto rank = source_.rank_among_readers(static_cast<std::uint64_t>(which), now);
        reader(which).set_longest_wait(confirmed.longest_wait(rank));
        if (confirmed.is_due(rank, report_interval_, now)) {
            reader(which).ask_at_once();
        }
    }
}

void store_tables::notice_suspension(time_point now)
{
    const auto awake_at = std::exchange(awake_at_, now);
    if (awake_at == never || now - awake_at <= suspension_threshold) {
        return;
    }
    for (auto& each : confirmations_) {
        each.awaits_own_answer = true;
    }
    for (auto& each : readers_) {
        each.ask_at_once();
    }
}

void store_tables::ask_others_at_once(table asked)
{
    for (auto& each : readers_) {
        if (&each != &reader(asked)) {
            each.ask_at_once();
        }
    }
}

void store_tables::on_read(table which, table_follower::progress progress)
{
    relay_.apply(table_name(which), progress);
    const auto now = event_loop::now();
    const bool is_complete = progress.version != 0;
    if (is_complete && which != table::daemons) {
        confirmation(which).awaits_own_answer = false;
        if (reader(which).reads_store()) {
            confirmation(which).by_any_daemon.confirmed(now);
            confirmation(which).here = now;
        }
    }
    if (progress.overdue) {
        // The store may have lost the other calls that wait, too.
        log_("rows.overdue", table_name(which) + " version " + std::to_string(progress.version));
        ask_others_at_once(which);
    }
    if (progress.restored) {
        log_("rows.restored", table_name(which) + " era " + std::to_string(*progress.era));
        for (auto& each : readers_) {
            each.on_era(*progress.era);
        }
    }
    if (which == table::directory && is_complete) {
        std::uint64_t newest = 0;
        for (const auto& row : progress.changes) {
            newest = std::max(newest, row.version);
        }
        const auto era = progress.era.value_or(0);
        const auto own = std::pair(own_offer_.era, own_offer_.directory_version);
        std::tie(own_offer_.era, own_offer_.directory_version) = std::max(own, std::pair(era, newest));
        source_.directory_read(own_offer_.directory_version, progress.version, era, now);
    }
    on_progress_(which, std::move(progress));
}

void store_tables::on_call_result(table which, const table_reader::call_result& result)
{
    const auto now = event_loop::now();
    if (result.succeeded) {
        if (!result.from_relay) {
            source_.store_succeeded(static_cast<std::size_t>(which));
            if (std::exchange(store_away_, false)) {
                // A call that was made before the return may never be answered.
                ask_others_at_once(which);
            }
        }
        return;
    }
    log_("rows.read_failed",
         table_name(which) + " from " + (result.from_relay ? source_name_ : "store") + ": " + result.error);
    if (result.from_relay) {
        source_.relay_failed(source_name_, now);
    } else {
        source_.store_failed(static_cast<std::size_t>(which), now);
        store_away_ = true;
    }
    next_source_check_ = now;
}

void store_tables::set_store(const endpoint& store)
{
    for (auto& each : readers_) {
        each.set_store(store);
    }
}

void store_tables::on_report(const load_report& report, std::uint64_t own_version, time_point now)
{
    const auto liveness_timeout =
        std::max<duration>(load_tracker::report_lifetime, report.next_in * load_tracker::report_intervals);
    source_.on_report(report.daemon, report.relay, liveness_timeout, now);
    report_interval_ = report.next_in;
    notice_suspension(now);
    const auto& status = report.relay;
    const auto on_answer = [&](table which, const std::optional<duration>& age, bool has_rows) {
        if (!age) {
            return;
        }
        reader(which).on_store_answered(now - *age);
        if (has_rows && !confirmation(which).awaits_own_answer) {
            confirmation(which).by_any_daemon.confirmed(now - *age);
        }
    };
    on_answer(table::configuration, status.configuration_age, report.configuration_version <= own_version);
    on_answer(table::directory, status.directory_age, source_.has_rows_of(status));
    if (source_.is_overdue(now)) {
        reader(table::directory).ask_at_once();
    }
}

relay_status store_tables::offer(time_point now) const
{
    auto result = own_offer_;
    result.serves = source_name_.empty() && source_.may_serve(now);
    const auto age = [&](table which) {
        const auto answered_at = confirmation(which).here;
        return answered_at == time_point{} ? std::nullopt : std::optional<duration>(now - answered_at);
    };
    result.configuration_age = age(table::configuration);
    result.directory_age = age(table::directory);
    return result;
}

} // namespace clementinegap
