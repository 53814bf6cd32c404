#pragma once

#include "policy/attempt_budget.h"
#include "request/request_table.h"
#include "request/slot_search.h"

#include <string>

namespace clementinegap {

/// What is known of a dispatched attempt: only the upstream's own answer proves that the request reached it.
ran_state ran_so_far(const entry_request& request);

/// The dispatched attempts of requests: the first one, moves of streams away from slowed or stalled
/// upstreams, and hedges, of which the first token decides between two attempts. Retries and hedges are paid
/// from budgets, so that a fault of many upstreams does not multiply the load.
class attempt_moves {
public:
    attempt_moves(entry_context& context, attempt_table& attempts, const request_table& requests,
                  slot_search& search);

    void request_seen();
    /// Sends the request to the upstream that holds a slot for it.
    void dispatch(const entry_request_ptr& request, const reservation& granted);
    /// A slot was granted while another attempt runs: hedges, moves, or gives the slot back.
    void take_over(const entry_request_ptr& request, const attempt_id& granted, const std::string& vm);
    /// Looks for another place for all streams at the upstream that may move.
    void move_from(const std::string& vm);
    /// Looks for streams that have stopped, now and then again while there are requests.
    void watch_for_stalls();

    bool may_move(const entry_request& request) const;
    bool can_resume(const entry_request& request) const;
    /// Whether a lost attempt may be followed by another one.
    bool may_start_again(const entry_request& request, ran_state ran) const;
    bool take_retry(const entry_request& request);
    /// Whether others may be asked for a request from whose upstream nothing was heard.
    bool may_ask_beside(const entry_request& request);

    /// Keeps `winner` and cancels the other attempt of a hedged request.
    void settle_hedge(entry_request& request, attempt_id winner);
    void drop_hedge(entry_request& request);
    /// The hedge goes on as the running attempt.
    static void adopt_hedge(entry_request& request);

private:
    void look_for_stalls();
    void hedge_later(const entry_request_ptr& request);

    entry_context& context_;
    attempt_table& attempts_;
    const request_table& requests_;
    slot_search& search_;
    attempt_budget retries_;
    attempt_budget hedges_;
    timer_service::timer_id stall_timer_{0};
};

} // namespace clementinegap
