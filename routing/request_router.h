#pragma once

#include "capacity/slot_shares.h"
#include "core/timer_service.h"
#include "routing/capacity_wait_queue.h"
#include "routing/crash_watch.h"
#include "routing/daemon_starts.h"
#include "routing/fleet_members.h"
#include "routing/generation_placement.h"
#include "routing/load_tracker.h"
#include "routing/prompt_part_quarantine.h"
#include "routing/quarantine_records.h"
#include "routing/retry_budget.h"
#include "routing/routed_request.h"
#include "routing/router_events.h"
#include "routing/software_versions.h"
#include "routing/stream_origins.h"
#include "routing/suspicion_record.h"
#include "routing/upstream_choice.h"
#include "routing/upstream_directory.h"
#include "routing/upstream_health.h"
#include "routing/upstream_limits.h"

#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace clementinegap {

struct router_settings {
    std::string daemon;
    std::string zone;
    std::uint64_t incarnation{0}; ///< Start time, so that a restarted daemon's reports are newer.
    retry_budget_settings retries;
    placement_rule placement{prompt_affinity{}};
    engine_speed assumed_speed{}; ///< Speed of engines without measurements.
    /// Upper bound of the backoff that an upstream can request; see `upstream_backoffs`.
    duration max_backoff{minutes(10)};
    /// Whether other processes may have served before this one. It is not ready before `suspicions_listed`
    /// has told it which requests crash upstreams, and takes the retry budget for used up by them.
    bool follows_others{false};
};

/// The decisions of an entry daemon that sends callers' requests directly to upstreams: the route, the
/// upstream, retries and refusals. It has no side effects: it receives every event with its time and returns
/// the actions to perform.
class request_router {
public:
    explicit request_router(router_settings settings);

    /// \returns actions in order; valid until the next call.
    std::span<const router_action> on_event(const router_event& event, time_point now);
    /// Latest time at which the next `tick` is due.
    time_point next_due() const { return timers_.next_due(); }

    /// \param connections must outlive the router's last event; nullptr: not known.
    void set_connections(const connection_view* connections) { connections_ = connections; }
    /// Whether callers should be sent to this daemon.
    bool is_ready() const { return has_tables() && knows_suspicions() && !draining(); }
    bool draining() const { return drain_deadline_ != never; }
    std::size_t open_requests() const { return requests_.size(); }
    const route_table* table() const { return table_.get(); }
    /// The report to send to the other daemons.
    load_report report(time_point now);
    const load_tracker& loads() const { return load_; }
    const upstream_limits& limits() const { return limits_; }
    /// The other daemons that are alive.
    std::vector<std::string> other_members() const { return members_.others(); }
    /// Number of partition recomputations, the cost of which grows with the fleet.
    std::uint64_t partition_updates() const { return partition_updates_; }

private:
    /// Retry-After when there is no better estimate; about the time until a restarted upstream is listed.
    static constexpr duration default_retry_after = milliseconds(800);
    /// How long a daemon that could serve otherwise waits for the recorded suspicions.
    static constexpr duration max_suspicions_wait = seconds(3);
    /// Limits the size of a report; few plain upstreams fail at the same time.
    static constexpr std::size_t max_outcome_statements = 8;

    void on(const request_arrived& event);
    void on(const send_failed& event);
    void on(const upstream_notice& event);
    void on(const first_event_seen& event);
    void on(const request_completed& event);
    void on(const caller_left& event);
    void on(const configuration_received& event);
    void on(const upstream_listed& event);
    void on(const upstream_removed& event);
    void on(const directory_listed& event);
    void on(const directory_unreachable& event);
    void on(const directory_reachable& event);
    void on(const directory_confirmed& event) { versions_.directory_confirmed(event.at); }
    void on(const load_reported& event);
    void on(const quarantines_recorded& event);
    void on(const suspicions_listed& event);
    void on(const fleet_size_known& event);
    void on(const stream_message_received& event);
    void on(const drain_begun& event);
    void on(const tick&);

    /// Time in which the request has ended, in all but rare cases.
    duration longest_time(const routed_request& request) const;
    /// The other daemons among which the keepers of a stream's origin are found.
    std::vector<std::string> possible_keepers() const;
    /// The stream of this request has begun: its origin is kept here and copied to others.
    void stream_began(routed_request& request);
    /// Keeps the origin of a stream here and copies it to other daemons.
    void keep_origin(stream_key stream, const stream_origin& origin);
    /// An upstream is listed with a process of another version than before, which may have begun some of its
    /// streams already.
    void upstream_changed_version(const upstream_record& listed);
    /// Finds out where the stream that the caller takes up can go on.
    /// \returns whether that is known; otherwise others are asked, or the request has been refused.
    bool find_origin(routed_request& request);
    /// Limits the sends of a request that continues a stream to what began it.
    /// \returns false if nothing can continue it; the request has been refused then.
    bool set_origin(routed_request& request, const stream_origin& origin);
    void ask_for_origin(routed_request& request);
    void end_search(routed_request& request);
    void on_origin_timer(request_number number);
    void on_message(const std::string& daemon, const origin_copy& message);
    void on_message(const std::string& daemon, const origin_question& message);
    void on_message(const std::string& daemon, const origin_answer& message);
    /// No daemon knows the stream: it goes on only if its service has had one version all the time, as others
    /// confirm if there are any. A daemon that hears of none is cut off, and cannot tell.
    void origin_not_found(routed_request& request);
    void send_continuation(routed_request& request);
    void refuse_continuation(routed_request& request, std::string_view reason);
    /// How long ago a stream that is taken up now may have begun, as far as daemons' views of the directory
    /// differ.
    duration continuation_span() const;
    /// The upstreams that may get this request.
    std::vector<upstream_ptr> usable_for(const routed_request& request) const;

    /// An upstream began to run this request: it counts as used once, however often it is sent.
    void begun(routed_request& request);
    /// The same, if this is a plain request. Streams begin with their first event.
    void plain_may_have_begun(routed_request& request);
    upstream_choice choose(const routed_request& request) const;
    bool try_send(routed_request& request);
    void release(routed_request& request);
    bool may_send_again(routed_request& request, const send_failed& event);
    slot_use use_of(const upstream_record& upstream) const;
    /// A plain request of the service has ended, so that a waiting one may be sent.
    void slot_freed(const std::string& service);
    void give_up(routed_request& request, send_fault fault, bool response_begun);
    void apply_limit(const upstream_notice& event);
    /// The known limit of the upstream has changed.
    void limit_changed(std::string_view upstream, const std::string& source);
    /// Recomputes this daemon's shares of limits if an input has changed since the last time.
    void update_shares();
    send_gate gate() const { return {backoffs_, shares_, &slots_}; }
    void apply_leave_notice(const leave_notice& value, const std::string& source);
    /// Queues a request until an upstream of its service accepts requests again.
    /// \returns false if waiting would not help.
    bool wait_for_capacity(routed_request& request);
    /// How many requests before or with this one can be sent in time for it to end.
    std::size_t places_for(const routed_request& request, const service_availability& availability);
    void stop_waiting(routed_request& request);
    /// Refuses the queued requests that cannot be sent in time any more, because of rate limits.
    void refuse_overdue(const std::string& service);
    /// Sends the queued requests of this service as far as its upstreams accept them.
    void send_waiting(const std::string& service);
    void end_probe(routed_request& request, probe_result how);
    /// Why a request was not sent to any upstream, for the log.
    std::string unsent_reason(const routed_request& request) const;
    /// Retry-After for a caller that is refused.
    duration retry_after_for(const routed_request& request);
    duration service_time(const std::string& service) const;
    /// What this daemon reports of the plain upstreams that lose requests.
    std::vector<outcome_statement> outcome_statements(time_point now) const;
    bool is_plain(const upstream_record& upstream) const;
    void on_timer(request_number number);
    void schedule(routed_request& request);
    void finish(routed_request& request, result_code code);
    void refuse(request_number number, std::string_view id, int status, result_code code,
                std::optional<duration> retry_after, std::string detail);
    void log(std::string_view event, const routed_request& request, std::string detail);
    bool has_tables() const { return table_ != nullptr && directory_.size() > 0; }
    bool knows_suspicions() const
    {
        return !settings_.follows_others || suspicions_listed_ || now_ >= suspicions_due_;
    }
    /// Begins the wait for the recorded suspicions once nothing else is missing.
    void await_suspicions();
    /// Publishes a suspicion or its withdrawal, and has it recorded.
    void publish_suspicion(soft_state_item item);
    /// Publishes the suspicions again, for a daemon that has just started.
    void brief_newcomer();
    enum class end_evidence : std::uint8_t {
        likely,  ///< No connection could be made.
        certain, ///< The directory no longer has it, or another process answers in its place.
    };
    /// The process of this upstream has ended.
    void process_ended(const upstream_record& upstream, end_evidence evidence);
    /// Suspects the requests that a process has lost last, unless it announced its end.
    void attribute_end(const upstream_record& upstream, end_evidence evidence);
    /// Publishes the suspicion of these requests.
    void blame_losses(const upstream_process& ended, time_point by);
    void blame_late_losses();
    /// The directory has no entry of this process any more.
    void entry_gone(const upstream_record& upstream);
    /// Processes that ran at the address of one that has started since have ended.
    void end_predecessors(const upstream_record& started);
    /// Another daemon states that a process has ended.
    void end_heard(std::string_view upstream, std::int64_t incarnation, duration age);
    /// The process of this upstream ended without having announced it.
    void crashed(const upstream_record& upstream);
    bool is_quarantined(const routed_request& request) const;
    /// Ends the open requests that have been quarantined since the last call, before they crash an upstream.
    void end_quarantined();
    /// Changes the store's records of quarantines if that is up to this daemon.
    void record_quarantines();
    /// Recomputes the partitions if an input has changed since the last time.
    void update_partitions();
    std::size_t daemons() const;
    duration jittered(duration value);
    retry_budget& budget(const std::string& service);
    void housekeeping();

    router_settings settings_;
    const connection_view* connections_{nullptr};
    time_point now_{};
    std::optional<time_point> started_at_; ///< The first event of a daemon that may follow others.
    timer_service timers_;
    std::minstd_rand random_;
    std::shared_ptr<const route_table> table_;
    upstream_directory directory_;
    upstream_health health_;
    load_tracker load_;
    generation_placement placement_;
    crash_watch crashes_;
    suspicion_record suspicion_record_;
    daemon_starts daemon_starts_;
    bool suspicions_listed_{false};
    time_point suspicions_due_{never};
    prompt_part_quarantine prompt_parts_;
    quarantine_records records_;
    upstream_backoffs backoffs_;
    software_versions versions_;
    stream_origins origins_;
    std::multimap<stream_key, request_number> origin_searches_;
    std::vector<std::string> registered_names_; ///< Of the other daemons.
    upstream_limits limits_;
    fleet_members members_;
    limit_shares shares_;
    slot_shares slots_;                                                   ///< Of plain upstreams.
    std::map<std::string, capacity_wait_queue, std::less<>> wait_queues_; ///< By service.
    std::map<std::string, retry_budget, std::less<>> budgets_;
    /// Smoothed response time of plain requests.
    std::map<std::string, duration, std::less<>> service_times_;
    std::unordered_map<request_number, routed_request> requests_;
    std::vector<router_action> actions_;
    std::size_t registered_daemons_{1};
    std::uint64_t report_sequence_{0};
    /// Inputs of the last computation of the shares: revisions of limits and members, and this daemon's
    /// portion.
    std::tuple<std::uint64_t, std::uint64_t, double> share_inputs_{};
    std::uint64_t quarantine_revision_{0}; ///< Of `prompt_parts_` when requests were last ended for it.
    bool partitions_outdated_{false};
    std::uint64_t partition_updates_{0};
    time_point drain_deadline_{never};
};

} // namespace clementinegap
