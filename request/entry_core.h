#pragma once

#include "core/timer_service.h"
#include "policy/placement.h"
#include "policy/poison.h"
#include "policy/prefix_history.h"
#include "policy/rate_limiter.h"
#include "policy/share_budget.h"
#include "policy/upstream_view.h"
#include "request/entry_events.h"
#include "request/entry_request.h"
#include "request/failure_answer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Bounds and identity of an entry daemon's core.
struct entry_settings {
    std::string vm;
    std::string zone;
    std::uint64_t incarnation{1};
    std::uint64_t seed{1};
    std::size_t max_requests{4096};
    std::size_t max_held_bytes{1U << 20U}; ///< Of an answer that is not streamed.
    std::uint32_t max_dispatches{3};       ///< Attempts of one repeatable request.
    duration placement_interval{milliseconds(50)};
    duration placement_patience{seconds(1)}; ///< How long a request waits for a first reachable upstream.
    double retry_share{0.1};                 ///< Retries per request.
    double hedge_share{0.02};                ///< Hedges per request.
    double budget_depth{32};                 ///< Retries or hedges that may be saved up.
    std::size_t max_considered{24};          ///< Upstreams that one placement looks at.
    std::size_t max_reservations{24};        ///< Of one request at a time.
    std::size_t max_prefixes{65536};         ///< That are remembered for placement.
    std::uint32_t max_moves{4};              ///< Of one stream away from slowed upstreams.
    placement_policy placement{late_bound_placement{}};
};

/// The decisions of an entry daemon: admits requests, reserves slots, dispatches, relays answers, tells the
/// truth about failures. Pure: no I/O, threads or clock.
class entry_core {
public:
    explicit entry_core(entry_settings settings);

    /// Takes one event and returns what is to be done; the span is valid until the next call.
    std::span<const entry_action> on_event(const entry_event& event, time_point now);

    /// When `tick` is due at the latest.
    time_point next_due() const { return timers_.next_due(); }

    std::size_t request_count() const { return requests_.size(); }
    bool ready() const { return configuration_ != nullptr && !draining_; }
    const configuration* current_configuration() const { return configuration_.get(); }
    const std::map<std::string, upstream_view, std::less<>>& upstreams() const { return upstreams_; }

private:
    using request_ptr = std::shared_ptr<entry_request>;

    void handle(const caller_request& event);
    void handle(const caller_gone& event);
    void handle(const caller_drained& event);
    void handle(const upstream_connected& event);
    void handle(const upstream_disconnected& event);
    void handle(const upstream_said& event);
    void handle(const configuration_applied& event);
    void handle(const drain_started& event);
    void handle(const soft_item_seen& event);
    void handle(const upstream_leaving& event);
    void handle(const tick& event);

    void on_message(const std::string& vm, const hello_message& message);
    void on_message(const std::string& vm, const load_message& message);
    void on_message(const std::string& vm, const granted_message& message);
    void on_message(const std::string& vm, const refused_message& message);
    void on_message(const std::string& vm, const started_message& message);
    void on_message(const std::string& vm, const head_message& message);
    void on_message(const std::string& vm, const chunk_message& message);
    void on_message(const std::string& vm, const finished_message& message);

    std::optional<failure_notice> refuse_at_admission(const caller_request& input) const;
    void refuse_caller(const caller_request& event, const failure_notice& notice);
    std::optional<failure_notice> refuse_by_limit(const workspace& owner, const request_class& rules);
    void report_demand();
    failure_notice refusal(result_code code, const caller_request& input, duration retry_after) const;
    request_ptr admit(const caller_request& input, const request_class& rules, const workspace& owner);
    void index_configuration();
    const workspace* workspace_of(const std::string& key_sha256) const;
    void join_pools(const upstream_view& view, const std::vector<std::string>& former_models);
    bool was_asked(const entry_request& request, const std::string& vm) const;
    const request_class* class_of(const caller_request& input) const;

    /// The waiting request of the lowest tier below `tier`, the last to arrive; nullptr without one.
    request_ptr waiting_below(int tier) const;

    void place(const request_ptr& request);
    std::vector<const upstream_view*> candidates(const entry_request& request);
    void reserve(const request_ptr& request, const upstream_view& view);
    void place_later(const request_ptr& request);
    bool may_send_directly(const entry_request& request, const upstream_view& view) const;
    void send_directly(const request_ptr& request, const upstream_view& view);
    void widen_later(const request_ptr& request);
    void give_up_or_wait(const request_ptr& request);
    bool is_late_bound() const { return std::holds_alternative<late_bound_placement>(settings_.placement); }
    bool may_move(const entry_request& request) const;
    void move_from(const std::string& vm);
    void look_for_stalls();
    void hedge_later(const request_ptr& request);
    void take_over(const request_ptr& request, const attempt_id& granted, const std::string& vm);
    void settle_hedge(entry_request& request, attempt_id winner);
    bool is_hedge(const entry_request& request, attempt_id attempt) const;
    void drop_hedge(entry_request& request);
    static void adopt_hedge(entry_request& request);
    void forget_attempt(const std::string& vm, attempt_id attempt);
    void dispatch(const request_ptr& request, const reservation& granted);
    void withdraw_reservations(entry_request& request, const attempt_id* except);
    void drop_reservation(const request_ptr& request, attempt_id attempt);

    void deliver(entry_request& request, std::string bytes);
    void send_head(entry_request& request);
    void attempt_lost(const request_ptr& request, result_code code, ran_state ran);
    bool can_resume(const entry_request& request) const;
    bool may_start_again(const entry_request& request, ran_state ran) const;
    void on_deadline(const request_ptr& request);
    void fail(const request_ptr& request, const failure_notice& notice);
    void complete(const request_ptr& request);
    void finish(const request_ptr& request, result_code code, ran_state ran);

    request_ptr find_attempt(attempt_id attempt) const;
    bool is_running(const entry_request& request, attempt_id attempt) const;
    void add_sunset(header_list& headers) const;
    void record(const entry_request& request, std::string kind, std::string upstream, std::string detail);
    header_list answer_headers(const entry_request& request) const;
    std::string new_request_id();

    entry_settings settings_;
    random_engine random_;
    timer_service timers_;
    time_point now_{};
    configuration_ptr configuration_;
    std::map<std::string, upstream_view, std::less<>> upstreams_;
    std::map<std::string, std::vector<const upstream_view*>, std::less<>> pools_; ///< By model.
    std::unordered_map<std::string_view, const workspace*> workspaces_by_key_;
    std::unordered_map<std::string_view, const request_class*> classes_by_name_;
    std::set<std::string, std::less<>> leaving_upstreams_; ///< By the cluster's word.
    std::unordered_map<caller_id, request_ptr> requests_;
    std::map<attempt_id, request_ptr> attempts_;
    std::map<std::string, std::set<attempt_id>, std::less<>> attempts_by_vm_;
    prefix_history prefixes_;
    rate_limiter limits_;
    timer_service::timer_id report_timer_{0};
    share_budget retries_;
    share_budget hedges_;
    timer_service::timer_id stall_timer_{0};
    poison_book poison_;
    std::uint64_t last_attempt_{0};
    std::uint64_t last_request_{0};
    bool draining_{false};
    std::vector<entry_action> actions_;
};

} // namespace clementinegap
