#include "router/store_tables.h"

#include "platform/header_names.h"

#include <algorithm>
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

relay_status own_offer(const store_tables::settings& how)
{
    relay_status offer;
    offer.zone = zone_number(how.zone);
    offer.link_mbps = how.link_mbps;
    return offer;
}

} // namespace

store_tables::store_tables(event_loop& loop, const settings& how, callback on_progress,
                           std::function<void(std::string_view, std::string_view)> log,
                           row_relay::configuration_source configuration)
    : own_(own_offer(how)), on_progress_(std::move(on_progress)), log_(std::move(log)),
      source_(how.daemon, own_, how.use_relays),
      relay_(loop, std::move(configuration)), readers_{make_reader(loop, how, table::configuration),
                                                       make_reader(loop, how, table::directory),
                                                       make_reader(loop, how, table::daemons)}
{
}

table_reader store_tables::make_reader(event_loop& loop, const settings& how, table which)
{
    const auto pause = which == table::daemons ? daemons_batch_pause : table_follower::default_batch_delay;
    return {loop, how.store,
            table_follower(table_name(which), how.seed + static_cast<std::uint64_t>(which), pause),
            [this, which](table_follower::progress read) { on_read(which, std::move(read)); },
            [this, which](const table_reader::outcome& how) { on_outcome(which, how); }};
}

void store_tables::run(time_point now)
{
    if (now >= next_choice_) {
        next_choice_ = now + choice_interval;
        choose_source(now);
    }
    for (auto& each : readers_) {
        each.run(now);
    }
}

time_point store_tables::due() const
{
    auto due = next_choice_;
    for (const auto& each : readers_) {
        due = std::min(due, each.due());
    }
    return due;
}

void store_tables::choose_source(time_point now)
{
    const auto relay = peers_.find(source_.choose(now));
    const auto chosen = relay == peers_.end() ? std::string_view() : std::string_view(relay->first);
    if (chosen != reads_from_) {
        reads_from_ = chosen;
        log_("rows.source", chosen.empty() ? "store" : chosen);
    }
    for (auto& each : readers_) {
        each.read_from(relay == peers_.end() ? std::nullopt : std::optional(relay->second));
    }
    relay_.serve(offer(now).serves);
}

void store_tables::on_read(table which, table_follower::progress progress)
{
    relay_.apply(table_name(which), progress);
    if (which == table::directory) {
        std::uint64_t newest = 0;
        for (const auto& row : progress.changes) {
            newest = std::max(newest, row.version);
        }
        own_.directory_version = std::max(own_.directory_version, newest);
        source_.directory_read(own_.directory_version, event_loop::now());
    }
    on_progress_(which, std::move(progress));
}

void store_tables::on_outcome(table which, const table_reader::outcome& how)
{
    const auto now = event_loop::now();
    if (how.answered) {
        if (!how.from_relay) {
            source_.store_succeeded(static_cast<std::size_t>(which));
        }
        return;
    }
    log_("rows.read_failed",
         table_name(which) + " from " + (how.from_relay ? reads_from_ : "store") + ": " + how.why);
    if (how.from_relay) {
        source_.relay_failed(reads_from_, now);
    } else {
        source_.store_failed(static_cast<std::size_t>(which), now);
    }
    next_choice_ = now;
}

void store_tables::set_store(const endpoint& store)
{
    for (auto& each : readers_) {
        each.set_store(store);
    }
}

void store_tables::on_report(const load_report& report, time_point now)
{
    const auto heard_for =
        std::max<duration>(load_tracker::report_lifetime, report.next_in * load_tracker::report_intervals);
    source_.on_report(report.daemon, report.relay, heard_for, now);
}

relay_status store_tables::offer(time_point now) const
{
    auto result = own_;
    result.serves = reads_from_.empty() && source_.may_serve(now);
    return result;
}

} // namespace clementinegap
