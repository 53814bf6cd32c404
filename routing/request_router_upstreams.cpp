#include "routing/request_router.h"

#include <algorithm>
#include <sstream>
#include <utility>

/// \file
/// The part of the router that tracks its upstreams: their directory and the notices in their responses.

namespace clementinegap {
namespace {

} // namespace

void request_router::on(const upstream_listed& event)
{
    if (directory_.lacks_incarnation(event.record)) {
        actions_.emplace_back(
            log_decision{"upstream.entry_ignored", "", event.record.id, "it lacks the incarnation"});
        return;
    }
    limits_.listed(event.record.id);
    const auto before = directory_.find(event.record.id);
    if (before && before->incarnation != event.record.incarnation) {
        process_ended(*before, end_evidence::certain);
        health_.process_ended(event.record.id);
        crashed(*before);
        if (before->software_version != event.record.software_version) {
            upstream_changed_version(event.record);
        }
    }
    if (!before) {
        end_predecessors(event.record);
    }
    const bool changed = directory_.put(event.record);
    versions_.listed(event.record, now_);
    if (event.record.leaving && event.record.incarnation != 0) {
        // An older state of its entry does not make it available again.
        directory_.add_leave_notice({event.record.id, event.record.incarnation}, now_);
    }
    if (!changed) {
        return;
    }
    actions_.emplace_back(log_decision{"upstream.listed", "", event.record.id,
                                       event.record.service + (event.record.leaving ? " leaving" : "")});
    partitions_outdated_ = true;
}

void request_router::on(const upstream_removed& event)
{
    const auto removed = directory_.find(event.id);
    if (removed && !directory_.may_be_restored(now_)) {
        entry_gone(*removed);
    }
    directory_.erase(event.id, now_);
    limits_.unlisted(event.id, now_);
    actions_.emplace_back(log_decision{"upstream.removed", "", event.id, ""});
    partitions_outdated_ = true;
}

void request_router::on(const directory_listed& event)
{
    if (event.restored || !versions_.is_watching()) {
        versions_.begin_to_watch(now_);
    }
    if (event.restored) {
        // Upstreams that are younger than the copy register again, as after an outage.
        directory_.directory_lost();
        directory_.directory_returned(now_);
    }
    std::vector<std::string> ids;
    for (const auto& each : event.records) {
        if (event.restored && directory_.was_removed(each)) {
            continue; // If it lives nevertheless, it writes its entry again.
        }
        ids.push_back(each.id);
        on(upstream_listed{each});
    }
    for (const auto& each : directory_.retain(ids, now_)) {
        entry_gone(*each);
    }
    await_suspicions();
    for (const auto& [upstream, limit] : limits_.current()) {
        if (std::ranges::find(ids, upstream) == ids.end()) {
            limits_.unlisted(upstream, now_);
        }
    }
    partitions_outdated_ = true;
}

void request_router::on(const directory_unreachable&)
{
    directory_.directory_lost();
    versions_.stop_watching();
    actions_.emplace_back(log_decision{"directory.lost", "", "", ""});
}

void request_router::on(const directory_reachable&)
{
    directory_.directory_returned(now_);
    versions_.begin_to_watch(now_);
    actions_.emplace_back(log_decision{"directory.regained", "", "", ""});
}

void request_router::on(const upstream_notice& event)
{
    if (!event.unreadable.empty()) {
        actions_.emplace_back(
            log_decision{"upstream.notice_unreadable", "", event.upstream, event.unreadable});
    }
    if (event.leaving) {
        const auto listed = directory_.find(event.upstream);
        if (event.incarnation || listed) {
            apply_leave_notice({event.upstream, event.incarnation.value_or(listed ? listed->incarnation : 0)},
                               "told in an answer");
        }
    }
    apply_limit(event);
    if (!event.backoff) {
        return;
    }
    const auto kept = backoffs_.start(event.upstream, *event.backoff, now_);
    if (kept == duration::zero()) {
        return;
    }
    actions_.emplace_back(log_decision{"upstream.paused", "", event.upstream,
                                       "asked_ms " + std::to_string(to_milliseconds(*event.backoff)) +
                                           " kept_ms " + std::to_string(to_milliseconds(kept))});
    actions_.emplace_back(recall_unsent{event.upstream});
}

void request_router::apply_limit(const upstream_notice& event)
{
    if (event.upstream.empty()) {
        return;
    }
    const auto answered = requests_.find(event.request);
    const bool known = answered != requests_.end() && answered->second.upstream;
    const auto sent_at = known ? answered->second.sent_at : time_point{};
    const bool is_listed = directory_.find(event.upstream) != nullptr;
    const bool changed =
        event.limit_per_second
            ? limits_.named(event.upstream, *event.limit_per_second, sent_at, is_listed, now_)
            : event.would_name_limit && limits_.not_named(event.upstream, sent_at, now_);
    if (changed) {
        limit_changed(event.upstream, "told in an answer");
    }
}

void request_router::limit_changed(std::string_view upstream, const std::string& source)
{
    const auto limit = limits_.at(upstream);
    const auto before = shares_.limit(upstream);
    std::ostringstream text;
    text << "per_second " << (limit ? *limit : 0.0);
    actions_.emplace_back(log_decision{"upstream.limit", "", std::string(upstream),
                                       (limit ? text.str() : "ended") + " " + source});
    update_shares();
    if (limit && (!before || *limit < *before)) {
        actions_.emplace_back(recall_unsent{std::string(upstream)});
        return;
    }
    const auto listed = directory_.find(upstream);
    if (listed && wait_queues_.contains(listed->service)) {
        send_waiting(listed->service);
    }
}

void request_router::update_shares()
{
    const auto portion = members_.portion(now_);
    const std::tuple inputs(limits_.revision(), members_.revision(), portion);
    if (std::exchange(share_inputs_, inputs) != inputs) {
        shares_.update(limits_.current(), members_.others(), portion, now_);
    }
}

void request_router::on(const fleet_size_known& event)
{
    registered_daemons_ = event.daemons;
    registered_names_ = event.others;
    members_.set_registered(event.daemons);
    if (daemon_starts_.registered(event.others)) {
        brief_newcomer();
    }
}

void request_router::apply_leave_notice(const leave_notice& value, const std::string& source)
{
    if (!directory_.add_leave_notice(value, now_)) {
        return;
    }
    actions_.emplace_back(log_decision{"upstream.leaving", "", value.upstream, source});
    actions_.emplace_back(recall_unsent{value.upstream});
    partitions_outdated_ = true;
}

void request_router::end_probe(routed_request& request, probe_result how)
{
    if (!request.upstream || !std::exchange(request.is_probe, false)) {
        return;
    }
    backoffs_.probe_ended(request.upstream->id, how, now_);
    if (wait_queues_.contains(request.service)) {
        send_waiting(request.service);
    }
}

void request_router::on(const drain_begun& event)
{
    drain_deadline_ = event.drain_deadline;
    for (auto& [service, queue] : wait_queues_) {
        for (const auto number : queue.in_order()) {
            // The backoff applies to this daemon only, which may have stopped when it ends.
            auto& request = requests_.at(number);
            if (request.response_begun) {
                give_up(request, send_fault::not_run, true);
                continue;
            }
            log("request.refused", request, "503 this daemon is stopping");
            actions_.emplace_back(
                respond_to_caller{number, request.may_have_run ? 502 : 503, result_code::leaving,
                                  request.may_have_run ? std::nullopt : std::optional(duration::zero())});
            finish(request, result_code::leaving);
        }
    }
}

bool request_router::is_plain(const upstream_record& upstream) const
{
    const auto* known = table_ ? table_->find_service(upstream.service) : nullptr;
    return known != nullptr && !known->engine;
}

std::vector<outcome_statement> request_router::outcome_statements(time_point now) const
{
    std::vector<outcome_statement> result;
    for (auto& each : health_.losses(now)) {
        const auto listed = directory_.find(each.upstream);
        if (listed && is_plain(*listed) && result.size() < max_outcome_statements) {
            each.incarnation = listed->incarnation;
            result.push_back(std::move(each));
        }
    }
    return result;
}

} // namespace clementinegap
