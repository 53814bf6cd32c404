#pragma once

#include "request/attempt_registry.h"
#include "request/incarnation_directory.h"
#include "request/run_claims.h"
#include "request/upstream_context.h"

#include <deque>
#include <optional>

namespace clementinegap {

/// Callbacks of the parts of an upstream core for the end of an attempt.
class attempt_owner {
public:
    attempt_owner() = default;
    attempt_owner(const attempt_owner&) = delete;
    attempt_owner& operator=(const attempt_owner&) = delete;
    virtual ~attempt_owner() = default;
    /// The attempt has not run.
    virtual void refuse(const upstream_attempt_ptr& attempt, result_code code, duration retry_after) = 0;
    virtual void finish(const upstream_attempt_ptr& attempt, result_code code, ran_state ran) = 0;
};

/// Attempts whose request may run only once under its key: claims the run record before the start, attaches
/// to a run of the same key elsewhere, responds from a finished record, stores outcomes.
class keyed_run_coordinator {
public:
    keyed_run_coordinator(upstream_context& context, const attempt_registry& attempts, attempt_owner& owner);

    /// Claims the record of an attempt that was dispatched; the attempt holds no slot meanwhile.
    void claim(const upstream_attempt_ptr& attempt);
    /// The run never reached the engine: its record is removed, so that the next attempt can claim the key.
    /// The attempt is refused after the removal.
    void release_claim(upstream_attempt& attempt);
    /// The attempt ends before its start.
    void abandon(const upstream_attempt_ptr& attempt);
    /// Stores the outcome of a run; does nothing for an attempt without a key.
    void store_outcome(const upstream_attempt& attempt, result_code code, ran_state ran);

    void on_result(const claim_completed& event) { apply(claims_.on_result(event, context_.now)); }
    void on_result(const record_read& event);
    void on_result(const finish_completed& event) { claims_.on_result(event, context_.now); }
    void on_result(const release_completed& event) { apply(claims_.on_result(event, context_.now)); }
    void on_soft_state(const soft_state_item& item) { incarnations_.on_item(item); }
    void on_timer() { claims_.on_timer(context_.now); }
    time_point next_due() const { return claims_.next_due(); }
    std::vector<upstream_action> take_actions() { return claims_.take_actions(); }

    /// The attempt that owns its record and is next to start; nullptr without one.
    upstream_attempt_ptr next_to_start() const { return claimed_.empty() ? nullptr : claimed_.front(); }
    void pop_next_to_start() { claimed_.pop_front(); }
    /// Records whose claim, outcome or removal the table service has not confirmed.
    std::size_t open_records() const { return claims_.size(); }

private:
    run_record record_of(const upstream_attempt& attempt) const;
    void apply(const std::optional<claim_outcome>& outcome);
    void await_outcome(const upstream_attempt_ptr& attempt, const run_record& found);
    void schedule_record_read(const upstream_attempt_ptr& attempt);
    void respond_from_record(const upstream_attempt_ptr& attempt, const run_record& found);

    upstream_context& context_;
    const attempt_registry& attempts_;
    attempt_owner& owner_;
    run_claims claims_;
    incarnation_directory incarnations_;
    std::deque<upstream_attempt_ptr> claimed_;
};

} // namespace clementinegap
