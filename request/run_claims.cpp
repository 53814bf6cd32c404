#include "request/run_claims.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::uint32_t max_doublings = 10;

} // namespace

// --- What the owner asks for

bool run_claims::claim(const run_record& record, time_point now)
{
    if (open_.size() >= settings_.max_open || open_.contains(record.attempt)) {
        return false;
    }
    auto& open = open_[record.attempt];
    open.record = record;
    open.record.claim = ++last_claim_;
    ask_claim(open, now);
    return true;
}

void run_claims::abandon(attempt_id attempt, time_point now)
{
    const auto found = open_.find(attempt);
    if (found == open_.end()) {
        return;
    }
    auto& open = found->second;
    open.wanted = false;
    if (open.at == step::held || open.at == step::reading) {
        begin_release(open, now);
    }
    // A claim under way is released when its answer comes.
}

void run_claims::release(attempt_id attempt, time_point now)
{
    if (auto* open = find(attempt, step::held)) {
        open->wanted = false;
        open->awaited = true;
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
    open->at = step::finishing;
    open->tries = 0;
    ask_finish(*open, now);
}

// --- What the table service answers

std::optional<claim_verdict> run_claims::on_answer(const claim_answered& event, time_point now)
{
    auto* open = find(event.attempt, step::claiming);
    if (open == nullptr) {
        return std::nullopt;
    }
    switch (event.result) {
    case store_result::done:
        return won(*open, now);
    case store_result::exists:
        return is_own(*open, event.existing) ? won(*open, now) : lost(*open, event.existing, now);
    case store_result::absent:
    case store_result::unavailable:
        return failed(*open, now);
    case store_result::unknown:
        break;
    }
    open->doubtful = true;
    if (open->wanted) {
        ask_read(*open, now);
    } else {
        begin_release(*open, now);
    }
    return std::nullopt;
}

std::optional<claim_verdict> run_claims::on_answer(const record_read& event, time_point now)
{
    auto* open = find(event.attempt, step::reading);
    if (open == nullptr) {
        return std::nullopt;
    }
    if (event.result == store_result::done) {
        return is_own(*open, event.record) ? won(*open, now) : lost(*open, event.record, now);
    }
    if (open->tries >= settings_.max_claim_tries) {
        return failed(*open, now);
    }
    if (event.result == store_result::absent) {
        ask_claim(*open, now);
    } else {
        ask_later(*open, now);
    }
    return std::nullopt;
}

std::optional<claim_verdict> run_claims::on_answer(const release_answered& event, time_point now)
{
    auto* open = find(event.attempt, step::releasing);
    if (open == nullptr) {
        return std::nullopt;
    }
    std::optional<claim_verdict> verdict;
    if (std::exchange(open->awaited, false)) {
        verdict = claim_verdict{claim_verdict::kind::released, event.attempt, open->record};
    }
    const bool unconfirmed =
        event.result == store_result::unavailable || event.result == store_result::unknown;
    const bool may_come_late = event.result == store_result::absent && open->doubtful;
    if ((unconfirmed && open->tries < settings_.max_release_tries) ||
        (may_come_late && open->tries < settings_.max_doubt_tries)) {
        ask_later(*open, now);
        return verdict;
    }
    if (unconfirmed) {
        actions_.emplace_back(
            emit_record{{"record.left", "", "", open->record.workspace, open->record.upstream,
                         "the record of a run that never started could not be removed; resolve it"}});
    }
    close(*open);
    return verdict;
}

void run_claims::on_answer(const finish_answered& event, time_point now)
{
    auto* open = find(event.attempt, step::finishing);
    if (open == nullptr) {
        return;
    }
    const bool in_doubt = event.result == store_result::unavailable || event.result == store_result::unknown;
    if (!in_doubt) {
        close(*open);
        return;
    }
    ask_later(*open, now);
}

const run_record* run_claims::own(std::string_view workspace, std::string_view key) const
{
    for (const auto& [attempt, open] : open_) {
        const bool counts = open.at == step::held || open.at == step::finishing;
        if (counts && open.record.workspace == workspace && open.record.key == key) {
            return &open.record;
        }
    }
    return nullptr;
}

// --- Steps

bool run_claims::is_own(const open_record& open, const run_record& found) const
{
    // A record that an operator settled meanwhile has another phase and is not a permission to start.
    return is_same_claim(found, open.record) && found.phase == run_phase::started;
}

void run_claims::ask_claim(open_record& open, time_point now)
{
    open.at = step::claiming;
    open.asked_at = now;
    ++open.tries;
    actions_.emplace_back(claim_run{open.record});
}

void run_claims::ask_read(open_record& open, time_point now)
{
    open.at = step::reading;
    open.asked_at = now;
    ++open.tries;
    actions_.emplace_back(read_run{open.record.attempt, open.record.workspace, open.record.key});
}

void run_claims::ask_release(open_record& open, time_point now)
{
    open.asked_at = now;
    ++open.tries;
    actions_.emplace_back(release_run{open.record});
}

void run_claims::begin_release(open_record& open, time_point now)
{
    forget_due(open);
    open.at = step::releasing;
    open.tries = 0;
    ask_release(open, now);
}

std::optional<claim_verdict> run_claims::won(open_record& open, time_point now)
{
    if (!open.wanted) {
        begin_release(open, now);
        return std::nullopt;
    }
    if (now - open.asked_at > settings_.claim_validity) {
        // The confirmation is old: this daemon was paused, and an operator may have settled the record.
        ask_read(open, now);
        return std::nullopt;
    }
    open.at = step::held;
    return claim_verdict{claim_verdict::kind::won, open.record.attempt, open.record};
}

std::optional<claim_verdict> run_claims::lost(open_record& open, const run_record& found, time_point now)
{
    const claim_verdict verdict{claim_verdict::kind::found, open.record.attempt, found};
    const bool wanted = open.wanted;
    if (open.doubtful) {
        open.wanted = false;
        begin_release(open, now);
    } else {
        close(open);
    }
    return wanted ? std::optional(verdict) : std::nullopt;
}

std::optional<claim_verdict> run_claims::failed(open_record& open, time_point now)
{
    const claim_verdict verdict{claim_verdict::kind::failed, open.record.attempt, open.record};
    const bool wanted = std::exchange(open.wanted, false);
    if (open.doubtful || open.tries > 1) {
        begin_release(open, now);
    } else {
        close(open);
    }
    return wanted ? std::optional(verdict) : std::nullopt;
}

void run_claims::ask_finish(open_record& open, time_point now)
{
    open.asked_at = now;
    ++open.tries;
    actions_.emplace_back(finish_run{open.record});
}

void run_claims::ask_later(open_record& open, time_point now)
{
    const auto doublings = std::min(open.tries, max_doublings);
    const auto wait = std::min<duration>(settings_.first_retry * (1U << doublings), settings_.longest_retry);
    open.due = now + wait;
    due_.emplace(open.due, open.record.attempt);
}

void run_claims::on_time(time_point now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        auto& open = open_.at(due_.begin()->second);
        forget_due(open);
        ask_again(open, now);
    }
}

void run_claims::ask_again(open_record& open, time_point now)
{
    switch (open.at) {
    case step::reading:
        ask_read(open, now);
        return;
    case step::finishing:
        ask_finish(open, now);
        return;
    case step::releasing:
        ask_release(open, now);
        return;
    case step::claiming:
    case step::held:
        return;
    }
}

void run_claims::forget_due(open_record& open)
{
    due_.erase({std::exchange(open.due, never), open.record.attempt});
}

void run_claims::close(open_record& open)
{
    forget_due(open);
    const auto attempt = open.record.attempt;
    open_.erase(attempt);
}

run_claims::open_record* run_claims::find(attempt_id attempt, step at)
{
    const auto found = open_.find(attempt);
    return found != open_.end() && found->second.at == at ? &found->second : nullptr;
}

} // namespace clementinegap
