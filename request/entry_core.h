#pragma once

#include "request/attempt_dispatcher.h"
#include "request/attempt_table.h"
#include "request/caller_responses.h"
#include "request/entry_admission.h"
#include "request/entry_context.h"
#include "request/request_table.h"
#include "request/slot_search.h"
#include "request/upstream_pools.h"

#include <span>
#include <string>

namespace clementinegap {

/// The decisions of an entry daemon: admits requests, reserves slots, dispatches, relays responses and
/// reports failures. Pure: no I/O, threads or clock. Its parts share `entry_context`; events that concern
/// several of them are coordinated here.
class entry_core : private slot_search_owner {
public:
    explicit entry_core(entry_core_settings settings);

    /// Processes one event and returns the resulting actions; the span is valid until the next call.
    std::span<const entry_action> on_event(const entry_event& event, time_point now);

    /// When `tick` is due at the latest.
    time_point next_due() const { return context_.timers.next_due(); }

    std::size_t request_count() const { return requests_.size(); }
    bool ready() const { return context_.rules != nullptr && !draining_; }
    const configuration* current_configuration() const { return context_.rules.get(); }
    const upstream_map& upstreams() const { return pools_.views(); }

private:
    void handle(const caller_request& event);
    void handle(const caller_disconnected& event);
    void handle(const response_bytes_consumed& event);
    void handle(const upstream_connected& event);
    void handle(const upstream_disconnected& event);
    void handle(const upstream_message_received& event);
    void handle(const configuration_applied& event);
    void handle(const drain_started& event);
    void handle(const soft_state_received& event);
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

    void on_direct_dispatch(const entry_request_ptr& request, const reservation& taken) override;
    void on_no_slot(const entry_request_ptr& request, const failure_notice& notice) override;
    bool may_try_another_upstream(const entry_request& request) override;

    void make_room_for(int tier);
    /// \returns true when the request needs no further handling.
    bool running_attempt_refused(const entry_request_ptr& request, const attempt_id& attempt,
                                 const std::string& vm);
    void attempt_lost(const entry_request_ptr& request, result_code code, ran_state ran);
    void on_deadline(const entry_request_ptr& request);
    void fail(const entry_request_ptr& request, const failure_notice& cause);
    void finish(const entry_request_ptr& request, result_code code, ran_state ran);
    void cancel_timers(entry_request& request);

    entry_context context_;
    upstream_pools pools_;
    request_table requests_;
    attempt_table attempts_;
    entry_admission admission_;
    caller_responses responses_;
    slot_search search_;
    attempt_dispatcher dispatcher_;
    bool draining_{false};
};

} // namespace clementinegap
