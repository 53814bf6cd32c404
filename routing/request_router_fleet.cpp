#include "routing/request_router.h"

#include "routing/scaled_duration.h"

#include <algorithm>
#include <utility>

/// \file
/// The part of the router that keeps its configuration and what the daemons tell each other: their reports,
/// the partitions that result from them, and the state that expires.

namespace clementinegap {
namespace {

/// How often soft state expires and partitions are recomputed; well below the surges of the traffic.
constexpr duration housekeeping_interval = milliseconds(250);

} // namespace

void request_router::on(const configuration_received& event)
{
    if (table_ && event.table->version() <= table_->version()) {
        return;
    }
    const bool first = table_ == nullptr;
    table_ = event.table;
    placement_.set_configuration(*table_);
    actions_.emplace_back(log_decision{"configuration.in_force", "", "",
                                       "version " + std::to_string(table_->version()) + " routes " +
                                           std::to_string(table_->route_count())});
    partitions_outdated_ = true;
    if (first) {
        await_suspicions();
        housekeeping();
    }
}

void request_router::on(const load_reported& event)
{
    placement_.placed_by_other(event.report.placements, now_);
    placement_.memory_used_by_others(event.report.memory_uses, now_);
    placement_.merge_speeds(event.report.speeds);
    load_.on_report(event.report, now_);
    health_.on_report(event.report.daemon, event.report.outcomes, now_);
    if (daemon_starts_.heard(event.report.daemon, event.report.incarnation)) {
        brief_newcomer();
    }
    for (const auto& each : event.report.leave_notices) {
        apply_leave_notice(each, "heard from " + event.report.daemon);
    }
    for (const auto& each : event.report.ended_processes) {
        partitions_outdated_ = directory_.add_ended_process(each, now_) || partitions_outdated_;
        end_heard(each.upstream, each.incarnation, each.age);
    }
    members_.on_report(event.report.daemon, event.report.next_in, now_);
    for (const auto& each : event.report.limits) {
        if (limits_.merge(each, directory_.find(each.upstream) != nullptr, now_)) {
            limit_changed(each.upstream, "heard from " + event.report.daemon);
        }
    }
    update_shares();
    for (const auto& each : event.report.prompt_parts.crashes) {
        end_heard(each.upstream, each.incarnation, each.age);
    }
    // After the ends that the report states: losses here are then counted as part of the same crash.
    for (const auto& item : event.items) {
        crashes_.on_item(item, now_);
        suspicion_record_.received(item, now_);
        if (auto withdrawal = crashes_.refute(item, now_)) {
            publish_suspicion(std::move(*withdrawal));
        }
    }
    prompt_parts_.on_report(event.report.prompt_parts, event.report.next_in, now_);
}

void request_router::update_partitions()
{
    if (!table_ || !std::exchange(partitions_outdated_, false)) {
        return;
    }
    ++partition_updates_;
    placement_.update(*table_, directory_, load_.demands_of_others(), now_);
}

void request_router::housekeeping()
{
    load_.expire(now_);
    health_.expire(now_);
    blame_late_losses();
    crashes_.expire(now_);
    prompt_parts_.update(now_);
    placement_.expire(now_);
    for (const auto& each : directory_.expire(now_)) {
        entry_gone(*each);
    }
    for (const auto& each : directory_.all()) {
        versions_.listed(*each, now_);
    }
    versions_.expire(now_);
    origins_.expire(now_);
    backoffs_.expire(now_);
    limits_.expire(now_);
    slots_.expire(now_);
    members_.expire(now_);
    record_quarantines();
    if (auto row = suspicion_record_.due(now_)) {
        actions_.emplace_back(record_suspicions{std::move(*row)});
    }
    update_shares();
    partitions_outdated_ = true;
    for (const auto& [service, queue] : wait_queues_) {
        send_waiting(service);
    }
    timers_.schedule(now_ + housekeeping_interval, [this](time_point) { housekeeping(); });
}

std::size_t request_router::daemons() const
{
    return std::max(registered_daemons_, load_.reporting_daemons() + 1);
}

duration request_router::jittered(duration value)
{
    return scaled(value, std::uniform_real_distribution<double>(0.75, 1.5)(random_));
}

retry_budget& request_router::budget(const std::string& service)
{
    return budgets_.try_emplace(service, settings_.retries, started_at_).first->second;
}

load_report request_router::report(time_point now)
{
    load_report result;
    result.daemon = settings_.daemon;
    result.incarnation = settings_.incarnation;
    result.sequence = ++report_sequence_;
    result.configuration_version = table_ ? table_->version() : 0;
    result.loads = load_.own_loads(backoffs_.in_backoff(now));
    result.leave_notices = directory_.listed_leave_notices();
    result.ended_processes = directory_.ended_processes_seen(now);
    result.limits = limits_.next_statements(now);
    result.prompt_parts = prompt_parts_.next_statements(now);
    result.demands = placement_.demands(now);
    result.placements = placement_.take_placements();
    result.memory_uses = placement_.take_memory_uses();
    result.speeds = placement_.take_speeds();
    result.outcomes = outcome_statements(now);
    return result;
}

} // namespace clementinegap
