#include "routing/request_router.h"

#include <algorithm>
#include <sstream>
#include <utility>

/// \file
/// The part of the router that tracks its upstreams: their directory and the notices in their responses.

namespace clementinegap {
namespace {

/// After this time a process has seen popular requests end well.
constexpr duration first_good_ends = seconds(3);

} // namespace

void request_router::process_ended(std::string_view upstream)
{
    placement_.engine_process_ended(upstream);
    auto items = crashes_.process_ended(upstream, now_);
    // Bystanders must not stay blamed across restarts. They are among several requests that were lost
    // together, and a process that has just started has seen none of them end well: those suspicions are not
    // recorded.
    const bool is_new = started_at_ && now_ - *started_at_ < first_good_ends;
    if (items.size() == 1 && !is_new) {
        publish_suspicion(std::move(items.front()));
        return;
    }
    for (auto& item : items) {
        actions_.emplace_back(publish_soft_state{std::move(item)});
    }
}

void request_router::publish_suspicion(soft_state_item item)
{
    suspicion_record_.observed(item, now_);
    // Written at once if this is the first for a while: the process may be killed at any moment.
    if (auto row = suspicion_record_.due(now_)) {
        actions_.emplace_back(record_suspicions{std::move(*row)});
    }
    suspicion_record::mark_recorded(item);
    actions_.emplace_back(publish_soft_state{std::move(item)});
}

void request_router::brief_newcomer()
{
    for (const auto& each : suspicion_record_.to_tell(now_)) {
        if (auto item = crashes_.item_of(each, now_)) {
            suspicion_record::mark_recorded(*item);
            actions_.emplace_back(publish_soft_state{std::move(*item)});
        }
    }
}

void request_router::await_suspicions()
{
    if (suspicions_due_ == never && has_tables()) {
        suspicions_due_ = now_ + max_suspicions_wait;
    }
}

void request_router::on(const suspicions_listed& event)
{
    suspicions_listed_ = true;
    std::vector<suspicion> own;
    std::vector<suspicion> all;
    for (const auto& row : event.rows) {
        all.insert(all.end(), row.suspicions.begin(), row.suspicions.end());
        if (row.daemon == settings_.daemon) {
            own = row.suspicions;
        }
    }
    const auto merged = suspicion_record::merge(all);
    crashes_.on_recorded(merged, now_);
    suspicion_record_.heard(merged, now_);
    suspicion_record_.restore(own, now_);
    brief_newcomer(); // Daemons that have seen one of these requests end well lately withdraw the suspicion.
    actions_.emplace_back(log_decision{"suspicions.read", "", "",
                                       "daemons " + std::to_string(event.rows.size()) + " requests " +
                                           std::to_string(merged.size())});
}

void request_router::crashed(const upstream_record& upstream)
{
    if (upstream.leaving || directory_.is_leaving(upstream) || prompt_parts_.knows_crash(upstream)) {
        return;
    }
    for (const auto& [number, request] : requests_) {
        if (request.streamed_for(now_) >= prompt_part_quarantine::proof_of_soundness) {
            prompt_parts_.succeeded(request.prompt, now_);
        }
    }
    prompt_parts_.process_ended(upstream, now_);
    actions_.emplace_back(log_decision{"upstream.crashed", "", upstream.id, ""});
}

bool request_router::is_quarantined(const routed_request& request) const
{
    return crashes_.is_quarantined(request.fingerprint, now_) || prompt_parts_.is_quarantined(request.prompt);
}

void request_router::on(const quarantines_recorded& event)
{
    std::vector<std::uint64_t> parts;
    for (const auto& each : event.parts) {
        parts.push_back(each.part);
        records_.written(each.part);
    }
    for (const auto part : event.removed) {
        records_.removed(part);
    }
    if (event.is_listing) {
        records_.listed(parts);
    }
    prompt_parts_.on_quarantined(event.parts, now_);
}

void request_router::record_quarantines()
{
    const auto quarantined = prompt_parts_.quarantined(now_);
    const auto due = records_.due(quarantined, members_.others(), now_);
    for (const auto& each : due.write) {
        actions_.emplace_back(record_quarantine{each});
    }
    for (const auto part : due.remove) {
        actions_.emplace_back(remove_quarantine_record{part});
    }
}

void request_router::end_quarantined()
{
    if (std::exchange(quarantine_revision_, prompt_parts_.revision()) == prompt_parts_.revision()) {
        return;
    }
    std::ostringstream text;
    text << "parts" << std::hex;
    for (const auto& each : prompt_parts_.quarantined(now_)) {
        text << ' ' << each.part;
    }
    actions_.emplace_back(log_decision{"prompt.quarantined", "", "", std::move(text).str()});
    std::vector<request_number> ended;
    for (const auto& [number, request] : requests_) {
        if (!request.response_begun && prompt_parts_.is_quarantined(request.prompt)) {
            ended.push_back(number);
        }
    }
    for (const auto number : ended) {
        auto& request = requests_.at(number);
        if (request.upstream) {
            request.may_have_run = true;
            actions_.emplace_back(stop_send{number});
        }
        const int status = request.may_have_run ? 502 : 503;
        log(request.may_have_run ? "request.failed" : "request.refused", request,
            std::to_string(status) + (request.may_have_run ? " after quarantine, it may have run"
                                                           : " a part of its prompt is quarantined"));
        actions_.emplace_back(respond_to_caller{number, status, result_code::quarantined, std::nullopt});
        finish(request, result_code::quarantined);
    }
}

void request_router::on(const upstream_listed& event)
{
    limits_.listed(event.record.id);
    const auto before = directory_.find(event.record.id);
    if (before && before->incarnation != event.record.incarnation) {
        process_ended(event.record.id);
        health_.process_ended(event.record.id);
        crashed(*before);
        if (before->software_version != event.record.software_version) {
            upstream_changed_version(event.record);
        }
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
        crashed(*removed);
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
    directory_.retain(ids, now_);
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
