#pragma once

#include "core/timer_service.h"
#include "policy/poison.h"
#include "policy/slot_policy.h"
#include "policy/work_order.h"
#include "request/owner_directory.h"
#include "request/run_claims.h"
#include "request/upstream_attempt.h"
#include "request/upstream_events.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Bounds and identity of an upstream daemon's core.
struct upstream_settings {
    std::string vm;
    std::string zone;
    std::string region;
    std::uint64_t incarnation{1};
    std::vector<std::string> models;
    std::uint32_t slots{8};
    std::size_t max_queue{1024};       ///< Reservations that wait for a slot.
    std::size_t max_set_aside{256};    ///< Paused runs that the engine keeps; beyond it nothing is preempted.
    std::size_t max_remembered{65536}; ///< Ended attempts that are still recognised.
    std::size_t max_kept_answer{65536}; ///< Bytes of an answer that are kept for resends.
    duration grant_timeout{milliseconds(500)};
    duration watch_interval{milliseconds(100)};
    duration watch_limit{seconds(5)};     ///< A run elsewhere that shows no end for so long is unknown.
    duration drain_patience{seconds(30)}; ///< How long a drain waits for outcomes to reach the table service.
    run_claims_settings claims;
    std::int64_t initial_credit{262144};
    work_order order{tiered_order{}};
};

/// The decisions of an upstream daemon: the queue and slots of one upstream, the claim before a never-repeat
/// run, the relay of the answer. Pure: no I/O, threads or clock.
class upstream_core {
public:
    explicit upstream_core(upstream_settings settings);

    /// Takes one event and returns what is to be done; the span is valid until the next call.
    std::span<const upstream_action> on_event(const upstream_event& event, time_point now);

    time_point next_due() const { return std::min(timers_.next_due(), claims_.next_due()); }
    std::size_t queued() const;
    std::uint32_t busy_slots() const { return busy_slots_; }
    /// Run records whose claim, outcome or removal the table service has not confirmed.
    std::size_t open_records() const { return claims_.size(); }
    std::size_t set_aside_runs() const { return set_aside_; }
    bool ready() const { return !draining_; }

private:
    using attempt_ptr = std::shared_ptr<upstream_attempt>;

    void handle(const entry_connected& event);
    void handle(const entry_disconnected& event);
    void handle(const entry_said& event);
    void handle(const engine_head& event);
    void handle(const engine_bytes& event);
    void handle(const engine_ended& event);
    void handle(const claim_answered& event);
    void handle(const record_read& event);
    void handle(const finish_answered& event);
    void handle(const release_answered& event);
    void handle(const configuration_applied& event);
    void handle(const drain_started& event);
    void handle(const soft_item_seen& event);
    void handle(const tick& event);

    void on_message(session_id session, const reserve_message& message);
    void on_message(session_id session, const dispatch_message& message);
    void on_message(session_id session, const cancel_message& message);
    void on_message(session_id session, const credit_message& message);

    bool enqueue(const attempt_ptr& attempt);
    void give_out_slots();
    std::optional<run_id> yielding_run(std::uint8_t tier) const;
    void give_slot(const queued_work& work);
    bool lend_slot_to_starving();
    void set_aside(const attempt_ptr& attempt);
    void begin_slice(const attempt_ptr& attempt);
    void refuse_hopeless();
    duration retry_after() const;
    void measure_pace(upstream_attempt& attempt, std::uint32_t tokens);
    void grant(const attempt_ptr& attempt);
    void claim(const attempt_ptr& attempt);
    void apply(const std::optional<claim_verdict>& verdict);
    void start_claimed_runs();
    void start_claimed(const attempt_ptr& attempt);
    void detach(upstream_attempt& attempt);
    void end_without_answer(const attempt_ptr& attempt);
    void plan_shutdown();
    void announce_incarnation();
    void finish_drain_when_idle();
    void start(const attempt_ptr& attempt);
    void watch(const attempt_ptr& attempt, const run_record& record);
    void watch_later(const attempt_ptr& attempt);
    void answer_from(const attempt_ptr& attempt, const run_record& record);
    void relay(upstream_attempt& attempt, const std::string& bytes, std::uint32_t tokens);
    void keep(upstream_attempt& attempt, const std::string& bytes);

    void refuse(const attempt_ptr& attempt, result_code code, duration retry_after);
    void finish(const attempt_ptr& attempt, result_code code, ran_state ran);
    void store_outcome(const upstream_attempt& attempt, result_code code, ran_state ran);
    void note_engine_health(engine_end_kind kind);
    void blame_running_work();
    bool must_wait_alone(const upstream_attempt& attempt) const;
    void forget(const attempt_ptr& attempt);
    void release_slot(upstream_attempt& attempt);
    /// Gives up the attempt's slot or its place in the queue.
    void give_back_place(upstream_attempt& attempt);
    bool holds_slot(const upstream_attempt& attempt) const;
    bool at_engine(const upstream_attempt& attempt) const;
    bool is_tiered() const { return std::holds_alternative<tiered_order>(settings_.order); }
    bool is_keyed(const upstream_attempt& attempt) const;
    run_record record_of(const upstream_attempt& attempt) const;

    void send(const upstream_attempt& attempt, upstream_message message);
    void publish_load();
    load_message current_load() const;
    void record(const upstream_attempt& attempt, std::string kind, std::string detail);
    attempt_ptr find(attempt_id attempt) const;
    void remember(attempt_id attempt, ran_state ran);

    upstream_settings settings_;
    slot_policy slots_;
    timer_service timers_;
    time_point now_{};
    configuration_ptr configuration_;
    std::set<session_id> sessions_;
    std::map<attempt_id, attempt_ptr> attempts_;
    std::unordered_map<run_id, attempt_ptr> runs_;
    run_claims claims_;
    owner_directory owners_;
    std::deque<attempt_ptr> claimed_;
    poison_book poison_;
    std::vector<attempt_ptr> parked_; ///< Suspects that wait until another suspect has ended.
    time_point blamed_at_{};
    std::map<attempt_id, ran_state> ended_;
    std::deque<attempt_id> ended_order_;
    std::uint32_t busy_slots_{0};
    std::size_t set_aside_{0};
    std::uint32_t lent_slots_{0}; ///< Held by slices of starving classes.
    timer_service::timer_id breaker_timer_{0};
    std::uint64_t last_id_{0};
    load_message published_;
    bool draining_{false};
    bool drained_said_{false};
    timer_service::timer_id shutdown_timer_{0};
    time_point drain_gives_up_at_{never};
    time_point announced_at_{};
    std::vector<upstream_action> actions_;
};

} // namespace clementinegap
