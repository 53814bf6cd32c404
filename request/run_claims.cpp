#include "request/run_claims.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::uint32_t max_doublings = 10;

} // namespace

// --- Requests of the owner

bool run_claims::claim(const run_record& record, time_point now)
{
    if (open_.size() >= settings_.max_open || open_.contains(record.attempt)) {
        return false;
    }
    auto& open = open_[record.attempt];
    open.record = record;
    open.record.claim = ++last_claim_;
    send_claim(open, now);
    return true;
}

void run_claims::abandon(attempt_id attempt, time_point now)
{
    const auto found = open_.find(attempt);
    if (found == open_.end()) {
        return;
    }
    auto& open = found->second;
    open.start_pending = false;
    if (open.current_step == step::held || open.current_step == step::reading) {
        begin_release(open, now);
    }
    // A pending claim is released when its result arrives.
}

void run_claims::release(attempt_id attempt, time_point now)
{
    if (auto* open = find(attempt, step::held)) {
        open->start_pending = false;
        open->report_release = true;
        begin_release(*open, now);
    }
}

void run_claims::finish(const run_record& outcome, time_point now)
{
    auto* open = find(outcome.attempt, step::held);
    if (open == nullptr) {
        return;
    }
    const auto claim = open->record.claim;
    open->record = outcome;
    open->record.claim = claim;
    open->current_step = step::finishing;
    open->tries = 0;
    send_finish(*open, now);
}

// --- Results of the table service

std::optional<claim_outcome> run_claims::on_result(const claim_completed& event, time_point now)
{
    auto* open = find(event.attempt, step::claiming);
    if (open == nullptr) {
        return std::nullopt;
    }
    switch (event.result) {
    case store_result::done:
        return acquired(*open, now);
    case store_result::exists:
        return is_own(*open, event.existing) ? acquired(*open, now) : on_conflict(*open, event.existing, now);
    case store_result::absent:
    case store_result::unavailable:
        return failed(*open, now);
    case store_result::unknown:
        break;
    }
    open->claim_uncertain = true;
    if (open->start_pending) {
        send_read(*open, now);
    } else {
        begin_release(*open, now);
    }
    return std::nullopt;
}

std::optional<claim_outcome> run_claims::on_result(const record_read& event, time_point now)
{
    auto* open = find(event.attempt, step::reading);
    if (open == nullptr) {
        return std::nullopt;
    }
    if (event.result == store_result::done) {
        return is_own(*open, event.record) ? acquired(*open, now) : on_conflict(*open, event.record, now);
    }
    if (open->tries >= settings_.max_claim_tries) {
        return failed(*open, now);
    }
    if (event.result == store_result::absent) {
        send_claim(*open, now);
    } else {
        schedule_retry(*open, now);
    }
    return std::nullopt;
}

std::optional<claim_outcome> run_claims::on_result(const release_completed& event, time_point now)
{
    auto* open = find(event.attempt, step::releasing);
    if (open == nullptr) {
        return std::nullopt;
    }
    std::optional<claim_outcome> outcome;
    if (std::exchange(open->report_release, false)) {
        outcome = claim_outcome{claim_outcome::kind::released, event.attempt, open->record};
    }
    const bool unconfirmed =
        event.result == store_result::unavailable || event.result == store_result::unknown;
    const bool may_apply_late = event.result == store_result::absent && open->claim_uncertain;
    if ((unconfirmed && open->tries < settings_.max_release_tries) ||
        (may_apply_late && open->tries < settings_.max_uncertain_tries)) {
        schedule_retry(*open, now);
        return outcome;
    }
    if (unconfirmed) {
        actions_.emplace_back(
            emit_record{{"record.left", "", "", open->record.workspace, open->record.upstream,
                         "the record of a run that never started could not be removed; resolve it"}});
    }
    close(*open);
    return outcome;
}

void run_claims::on_result(const finish_completed& event, time_point now)
{
    auto* open = find(event.attempt, step::finishing);
    if (open == nullptr) {
        return;
    }
    const bool unconfirmed =
        event.result == store_result::unavailable || event.result == store_result::unknown;
    if (!unconfirmed) {
        close(*open);
        return;
    }
    schedule_retry(*open, now);
}

const run_record* run_claims::find_own(std::string_view workspace, std::string_view key) const
{
    for (const auto& [attempt, open] : open_) {
        const bool counts = open.current_step == step::held || open.current_step == step::finishing;
        if (counts && open.record.workspace == workspace && open.record.key == key) {
            return &open.record;
        }
    }
    return nullptr;
}

// --- Steps

bool run_claims::is_own(const open_record& open, const run_record& found) const
{
    // A record that an operator settled meanwhile has another phase and does not permit a start.
    return is_same_claim(found, open.record) && found.phase == run_phase::started;
}

void run_claims::send_claim(open_record& open, time_point now)
{
    open.current_step = step::claiming;
    open.sent_at = now;
    ++open.tries;
    actions_.emplace_back(claim_run{open.record});
}

void run_claims::send_read(open_record& open, time_point now)
{
    open.current_step = step::reading;
    open.sent_at = now;
    ++open.tries;
    actions_.emplace_back(read_run{open.record.attempt, open.record.workspace, open.record.key});
}

void run_claims::send_release(open_record& open, time_point now)
{
    open.sent_at = now;
    ++open.tries;
    actions_.emplace_back(release_run{open.record});
}

void run_claims::begin_release(open_record& open, time_point now)
{
    cancel_retry(open);
    open.current_step = step::releasing;
    open.tries = 0;
    send_release(open, now);
}

std::optional<claim_outcome> run_claims::acquired(open_record& open, time_point now)
{
    if (!open.start_pending) {
        begin_release(open, now);
        return std::nullopt;
    }
    if (now - open.sent_at > settings_.claim_validity) {
        // The confirmation is old: this daemon was paused, and an operator may have settled the record.
        send_read(open, now);
        return std::nullopt;
    }
    open.current_step = step::held;
    return claim_outcome{claim_outcome::kind::acquired, open.record.attempt, open.record};
}

std::optional<claim_outcome> run_claims::on_conflict(open_record& open, const run_record& found,
                                                     time_point now)
{
    const claim_outcome outcome{claim_outcome::kind::found, open.record.attempt, found};
    const bool start_pending = open.start_pending;
    if (open.claim_uncertain) {
        open.start_pending = false;
        begin_release(open, now);
    } else {
        close(open);
    }
    return start_pending ? std::optional(outcome) : std::nullopt;
}

std::optional<claim_outcome> run_claims::failed(open_record& open, time_point now)
{
    const claim_outcome outcome{claim_outcome::kind::failed, open.record.attempt, open.record};
    const bool start_pending = std::exchange(open.start_pending, false);
    if (open.claim_uncertain || open.tries > 1) {
        begin_release(open, now);
    } else {
        close(open);
    }
    return start_pending ? std::optional(outcome) : std::nullopt;
}

void run_claims::send_finish(open_record& open, time_point now)
{
    open.sent_at = now;
    ++open.tries;
    actions_.emplace_back(finish_run{open.record});
}

void run_claims::schedule_retry(open_record& open, time_point now)
{
    const auto doublings = std::min(open.tries, max_doublings);
    const auto wait = std::min<duration>(settings_.initial_retry_interval * (1U << doublings),
                                         settings_.max_retry_interval);
    open.due = now + wait;
    due_.emplace(open.due, open.record.attempt);
}

void run_claims::on_timer(time_point now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        auto& open = open_.at(due_.begin()->second);
        cancel_retry(open);
        retry(open, now);
    }
}

void run_claims::retry(open_record& open, time_point now)
{
    switch (open.current_step) {
    case step::reading:
        send_read(open, now);
        return;
    case step::finishing:
        send_finish(open, now);
        return;
    case step::releasing:
        send_release(open, now);
        return;
    case step::claiming:
    case step::held:
        return;
    }
}

void run_claims::cancel_retry(open_record& open)
{
    due_.erase({std::exchange(open.due, never), open.record.attempt});
}

void run_claims::close(open_record& open)
{
    cancel_retry(open);
    const auto attempt = open.record.attempt;
    open_.erase(attempt);
}

run_claims::open_record* run_claims::find(attempt_id attempt, step current_step)
{
    const auto found = open_.find(attempt);
    return found != open_.end() && found->second.current_step == current_step ? &found->second : nullptr;
}

} // namespace clementinegap
