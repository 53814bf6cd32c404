#pragma once

#include "policy/attempt_budget.h"
#include "request/request_table.h"
#include "request/slot_search.h"

#include <string>

namespace clementinegap {

/// The execution state of a dispatched attempt: only a response head proves that the request reached the
/// upstream.
ran_state running_execution_state(const entry_request& request);

/// The dispatched attempts of requests: the first one, moves of streams away from slowed or stalled
/// upstreams, and hedges, of which the first token decides between two attempts. Retries and hedges are paid
/// from budgets, so that a fault of many upstreams does not multiply the load.
class attempt_dispatcher {
public:
    attempt_dispatcher(entry_context& context, attempt_table& attempts, const request_table& requests,
                       slot_search& search);

    void request_seen();
    /// Sends the request to the upstream that holds a slot for it.
    void dispatch(const entry_request_ptr& request, const reservation& granted);
    /// A slot was granted while another attempt runs: hedges, moves, or releases the slot.
    void on_second_grant(const entry_request_ptr& request, const attempt_id& granted, const std::string& vm);
    /// Starts a search for another upstream for all streams at `vm` that may move.
    void move_streams_from(const std::string& vm);
    /// Starts periodic checks for stalled streams, which continue while there are requests.
    void start_stall_checks();

    bool may_move(const entry_request& request) const;
    bool can_resume(const entry_request& request) const;
    /// Whether a lost attempt may be followed by another one.
    bool may_retry(const entry_request& request, ran_state ran) const;
    bool spend_retry_budget(const entry_request& request);
    /// Whether other upstreams may be tried for a request whose upstream has not responded.
    bool may_try_another_upstream(const entry_request& request);

    /// Keeps `winner` and cancels the other attempt of a hedged request.
    void resolve_hedge(entry_request& request, attempt_id winner);
    void cancel_hedge(entry_request& request);
    /// Makes the hedge the running attempt.
    static void promote_hedge(entry_request& request);

private:
    void check_for_stalls();
    void schedule_hedge(const entry_request_ptr& request);

    entry_context& context_;
    attempt_table& attempts_;
    const request_table& requests_;
    slot_search& search_;
    attempt_budget retries_;
    attempt_budget hedges_;
    timer_service::timer_id stall_timer_{0};
};

} // namespace clementinegap
