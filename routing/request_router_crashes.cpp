#include "routing/request_router.h"

#include <sstream>
#include <utility>

/// \file
/// The part of the router that finds out which requests crash upstreams and keeps them from others.

namespace clementinegap {
namespace {

/// After this time a process has seen popular requests end well.
constexpr duration first_good_ends = seconds(3);
/// An end that another daemon has seen is attributed to losses noticed here up to this much later.
constexpr duration report_slack = milliseconds(500);

} // namespace

void request_router::process_ended(const upstream_record& upstream, end_evidence evidence)
{
    placement_.engine_process_ended(upstream.id);
    attribute_end(upstream, evidence);
}

void request_router::attribute_end(const upstream_record& upstream, end_evidence evidence)
{
    if (upstream.leaving || directory_.is_leaving(upstream)) {
        return; // It ended in order, whatever it lost.
    }
    const upstream_process ended{upstream.id, upstream.incarnation};
    if (evidence == end_evidence::certain) {
        crashes_.remember_end(ended, now_);
    }
    blame_losses(ended, now_);
}

void request_router::blame_losses(const upstream_process& ended, time_point by)
{
    auto items = crashes_.process_ended(ended, by, now_);
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

void request_router::blame_late_losses()
{
    for (const auto& each : crashes_.noticed_late(now_)) {
        blame_losses(each, now_);
    }
}

void request_router::entry_gone(const upstream_record& upstream)
{
    attribute_end(upstream, end_evidence::certain);
    crashed(upstream);
}

void request_router::end_predecessors(const upstream_record& started)
{
    for (const auto& each : directory_.all()) {
        const bool is_other = each->id != started.id && each->address == started.address;
        if (is_other && each->incarnation != 0 && each->incarnation < started.incarnation) {
            entry_gone(*each);
        }
    }
}

void request_router::end_heard(std::string_view upstream, std::int64_t incarnation, duration age)
{
    versions_.process_ended(upstream, incarnation, now_ - age);
    const auto listed = directory_.find(upstream);
    const bool has_left = listed && (listed->leaving || directory_.is_leaving(*listed));
    if (!has_left) {
        blame_losses({std::string(upstream), incarnation}, now_ - age + report_slack);
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

} // namespace clementinegap
