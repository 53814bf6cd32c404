#pragma once

#include "request/attempt_registry.h"
#include "request/crash_suspects.h"
#include "request/engine_relay.h"
#include "request/entry_sessions.h"
#include "request/keyed_run_coordinator.h"
#include "request/slot_queue.h"
#include "request/upstream_context.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>

namespace clementinegap {

/// The decisions of an upstream daemon: the queue and slots of one upstream, the claim before a never-repeat
/// run, the relay of the response. Pure: no I/O, threads or clock. Its parts share `upstream_context`; events
/// that concern several of them are coordinated here.
class upstream_core : private attempt_owner {
public:
    explicit upstream_core(upstream_settings settings);

    /// Processes one event and returns the resulting actions; the span is valid until the next call.
    std::span<const upstream_action> on_event(const upstream_event& event, time_point now);

    time_point next_due() const { return std::min(context_.timers.next_due(), keyed_runs_.next_due()); }
    std::size_t queued() const { return slots_.queued(); }
    std::uint32_t busy_slots() const { return slots_.busy(); }
    /// Run records whose claim, outcome or removal the table service has not confirmed.
    std::size_t open_records() const { return keyed_runs_.open_records(); }
    std::size_t preempted_runs() const { return slots_.preempted_count(); }
    bool ready() const { return !draining_; }

private:
    void handle(const entry_connected& event);
    void handle(const entry_disconnected& event);
    void handle(const entry_message_received& event);
    void handle(const engine_head& event);
    void handle(const engine_bytes& event);
    void handle(const engine_ended& event);
    void handle(const claim_completed& event) { keyed_runs_.on_result(event); }
    void handle(const record_read& event) { keyed_runs_.on_result(event); }
    void handle(const finish_completed& event) { keyed_runs_.on_result(event); }
    void handle(const release_completed& event) { keyed_runs_.on_result(event); }
    void handle(const configuration_applied& event);
    void handle(const drain_started& event);
    void handle(const soft_state_received& event);
    void handle(const tick& event);

    void on_message(session_id session, const reserve_message& message);
    void on_message(session_id session, const dispatch_message& message);
    void on_message(session_id session, const cancel_message& message);
    void on_message(session_id session, const credit_message& message);

    upstream_attempt_ptr admit(session_id session, const reserve_message& message);
    bool enqueue(const upstream_attempt_ptr& attempt);
    void assign_slots();
    void assign_slots_by_tier();
    void assign_slot(const queued_work& work);
    bool grant_starvation_slot();
    void preempt(run_id run);
    void grant(const upstream_attempt_ptr& attempt);
    void refuse_work_past_deadline();
    void start_claimed_runs();
    void on_run_broken(const upstream_attempt_ptr& attempt);
    void record_engine_health(engine_end_kind kind);

    void refuse(const upstream_attempt_ptr& attempt, result_code code, duration retry_after) override;
    void finish(const upstream_attempt_ptr& attempt, result_code code, ran_state ran) override;
    void remove_attempt(const upstream_attempt_ptr& attempt);
    void finish_drain_when_idle();

    load_message current_load() const;
    void publish_load();
    void plan_shutdown();

    upstream_context context_;
    entry_sessions sessions_;
    attempt_registry attempts_;
    slot_queue slots_;
    engine_relay relay_;
    keyed_run_coordinator keyed_runs_;
    crash_suspects suspects_;
    timer_service::timer_id breaker_timer_{0};
    timer_service::timer_id shutdown_timer_{0};
    bool draining_{false};
    bool drain_completed_sent_{false};
    time_point drain_deadline_{never};
};

} // namespace clementinegap
