#pragma once

#include "policy/poison.h"
#include "policy/prefix_history.h"
#include "request/attempt_table.h"
#include "request/entry_context.h"
#include "request/failure_answer.h"
#include "request/upstream_pools.h"

#include <string>
#include <vector>

namespace clementinegap {

/// What the search for a slot asks of the core that it is part of.
class slot_search_owner {
public:
    slot_search_owner() = default;
    slot_search_owner(const slot_search_owner&) = delete;
    slot_search_owner& operator=(const slot_search_owner&) = delete;
    virtual ~slot_search_owner() = default;
    /// A slot was taken without waiting for a grant.
    virtual void on_slot_taken(const entry_request_ptr& request, const reservation& taken) = 0;
    /// No upstream can serve the request.
    virtual void on_no_slot(const entry_request_ptr& request, const failure_notice& notice) = 0;
    /// Whether others may be asked for a request that was sent to an upstream from which nothing was heard.
    virtual bool may_ask_beside(const entry_request& request) = 0;
};

/// Finds an upstream with a free slot for a request: asks one or a few by the placement policy, widens the
/// question while none grants, waits a little when none is reachable and gives up at once when all refuse.
/// The number of upstreams that one search looks at is bounded, so its cost does not grow with the fleet.
class slot_search {
public:
    slot_search(entry_context& context, const upstream_pools& pools, attempt_table& attempts,
                slot_search_owner& owner);

    /// Asks upstreams for a slot, or takes one that is known to be free.
    void place(const entry_request_ptr& request);
    /// Withdraws all open reservations but `except`, which may be nullptr.
    void withdraw(entry_request& request, const attempt_id* except);
    /// A reservation was refused or lost; looks further when it was the last one.
    void drop(const entry_request_ptr& request, attempt_id attempt);
    /// The prompt was sent there, which later placements prefer.
    void prompt_sent(const entry_request& request, const std::string& vm);
    void item_seen(const soft_item& item) { poison_.soft_state_received(item, context_.now); }

private:
    std::vector<const upstream_view*> candidates(const entry_request& request);
    std::vector<std::size_t> choose(const entry_request& request,
                                    std::span<const upstream_view* const> possible);
    void reserve(const entry_request_ptr& request, const upstream_view& view);
    void place_later(const entry_request_ptr& request);
    bool may_take_directly(const entry_request& request, const upstream_view& view) const;
    void take_directly(const entry_request_ptr& request, const upstream_view& view);
    void widen_later(const entry_request_ptr& request);
    void give_up_or_wait(const entry_request_ptr& request);

    entry_context& context_;
    const upstream_pools& pools_;
    attempt_table& attempts_;
    slot_search_owner& owner_;
    prefix_history prefixes_;
    poison_tracker poison_;
};

} // namespace clementinegap
