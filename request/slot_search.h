#pragma once

#include "policy/poison.h"
#include "policy/prefix_history.h"
#include "request/attempt_table.h"
#include "request/entry_context.h"
#include "request/failure_response.h"
#include "request/upstream_pools.h"

#include <string>
#include <vector>

namespace clementinegap {

/// Callbacks of the slot search to the core that it is part of.
class slot_search_owner {
public:
    slot_search_owner() = default;
    slot_search_owner(const slot_search_owner&) = delete;
    slot_search_owner& operator=(const slot_search_owner&) = delete;
    virtual ~slot_search_owner() = default;
    /// The request is dispatched without waiting for a grant.
    virtual void on_direct_dispatch(const entry_request_ptr& request, const reservation& taken) = 0;
    /// No upstream can serve the request.
    virtual void on_no_slot(const entry_request_ptr& request, const failure_notice& notice) = 0;
    /// Whether other upstreams may be tried for a request whose upstream has not responded.
    virtual bool may_try_another_upstream(const entry_request& request) = 0;
};

/// Finds an upstream with a free slot for a request: sends reservations to one or a few by the placement
/// policy, then to further ones while none grants. Waits briefly when none is reachable and fails at once
/// when all refuse. One search considers a bounded number of upstreams, so its cost does not grow with the
/// fleet.
class slot_search {
public:
    slot_search(entry_context& context, const upstream_pools& pools, attempt_table& attempts,
                slot_search_owner& owner);

    /// Reserves a slot at upstreams, or dispatches directly to one that reported a free slot.
    void place(const entry_request_ptr& request);
    /// Withdraws all open reservations but `except`, which may be nullptr.
    void withdraw(entry_request& request, const attempt_id* except);
    /// A reservation was refused or lost; tries further upstreams when it was the last one.
    void drop(const entry_request_ptr& request, attempt_id attempt);
    /// Records that the prompt was sent to `vm`, which later placements prefer.
    void prompt_sent(const entry_request& request, const std::string& vm);
    void on_soft_state(const soft_state_item& item) { poison_.soft_state_received(item, context_.now); }

private:
    std::vector<const upstream_view*> candidates(const entry_request& request);
    std::vector<std::size_t> choose(const entry_request& request,
                                    std::span<const upstream_view* const> possible);
    void reserve(const entry_request_ptr& request, const upstream_view& view);
    void schedule_placement(const entry_request_ptr& request);
    bool may_dispatch_directly(const entry_request& request, const upstream_view& view) const;
    void dispatch_directly(const entry_request_ptr& request, const upstream_view& view);
    void schedule_widening(const entry_request_ptr& request);
    void fail_or_schedule_placement(const entry_request_ptr& request);

    entry_context& context_;
    const upstream_pools& pools_;
    attempt_table& attempts_;
    slot_search_owner& owner_;
    prefix_history prefixes_;
    poison_tracker poison_;
};

} // namespace clementinegap
