#pragma once

#include "core/result_code.h"
#include "core/soft_state.h"
#include "core/tick.h"
#include "routing/load_tracker.h"
#include "routing/prompt.h"
#include "routing/route_table.h"
#include "routing/send_fault.h"
#include "routing/stream_origin.h"
#include "routing/suspicion_record.h"
#include "routing/upstream_directory.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Events that the router receives and actions that it returns. They contain no connections or payload; those
/// stay with the owner of the router.

namespace clementinegap {

using request_number = std::uint64_t;

/// A complete request was read.
struct request_arrived {
    request_number request{0};
    std::string id; ///< The caller's id, for the log.
    std::string host;
    std::string path;
    std::string api_key;              ///< Empty without one.
    std::optional<duration> deadline; ///< How long the caller waits.
    std::uint64_t body_hash{0};
    prompt_info prompt;
    /// The caller takes a stream up again after the last event that it got: id of the request that brought
    /// the first event; empty if the caller does not name it.
    std::optional<std::string> continues{};
};

/// A send failed.
struct send_failed {
    request_number request{0};
    send_fault fault{send_fault::lost};
    bool response_begun{false}; ///< The caller has already received the response head.
    bool refused{false};        ///< Nothing listens at the upstream's address any more.
};

/// Information that an upstream gave about itself in a response head.
struct upstream_notice {
    std::string upstream;
    /// Incarnation of the process that responded; nothing: the listed one.
    std::optional<std::int64_t> incarnation;
    bool leaving{false};
    std::optional<duration> backoff; ///< Time for which this daemon should send it nothing.
    std::string unreadable{};        ///< A header that could not be parsed, for the log.
    /// Requests per second that it accepts from all daemons together; nothing: it names no limit.
    std::optional<double> limit_per_second{};
    /// Whether the response would name a limit if there were one, so that a missing limit has ended.
    bool would_name_limit{false};
    request_number request{0}; ///< The request that was responded to; 0: an unknown one.
};

/// The first event of a stream was received.
struct first_event_seen {
    request_number request{0};
};

/// The complete response was forwarded.
struct request_completed {
    request_number request{0};
    bool upstream_failed{false}; ///< The response was a failure of the upstream.
};

/// The caller closed its connection before the response was complete.
struct caller_left {
    request_number request{0};
};

/// A newer configuration takes effect.
struct configuration_received {
    std::shared_ptr<const route_table> table;
};

struct upstream_listed {
    upstream_record record;
};

struct upstream_removed {
    std::string id;
};

/// A complete listing of the directory.
struct directory_listed {
    std::vector<upstream_record> records;
    bool restored{false}; ///< The directory came back from an older copy.
};

struct directory_unreachable {};
struct directory_reachable {};

/// The directory has shown all changes until this time, as the store told this daemon or another one.
struct directory_confirmed {
    time_point at;
};

struct load_reported {
    load_report report;
    std::vector<soft_state_item> items;
};

/// Quarantined prompt parts that the store has recorded.
struct quarantines_recorded {
    std::vector<quarantined_part> parts;
    std::vector<std::uint64_t> removed;
    bool is_listing{false}; ///< `parts` contains all records.
};

/// The suspicions of one daemon, as the store has recorded them.
struct recorded_suspicions {
    std::string daemon;
    std::vector<suspicion> suspicions;
};

/// The recorded suspicions of all daemons, read when this process started.
struct suspicions_listed {
    std::vector<recorded_suspicions> rows;
};

/// Number of registered daemons, including this one; fewer may be alive.
struct fleet_size_known {
    std::size_t daemons{1};
    std::vector<std::string> others{}; ///< Their names.
};

/// Another daemon sent a message about the origin of a stream.
struct stream_message_received {
    std::string daemon;
    stream_message message;
};

/// This process is shutting down: requests that arrive from now on must end by `drain_deadline`.
struct drain_begun {
    time_point drain_deadline{};
};

using router_event =
    std::variant<request_arrived, send_failed, upstream_notice, first_event_seen, request_completed,
                 caller_left, configuration_received, upstream_listed, upstream_removed, directory_listed,
                 directory_unreachable, directory_reachable, directory_confirmed, load_reported,
                 quarantines_recorded, suspicions_listed, fleet_size_known, stream_message_received,
                 drain_begun, tick>;

/// Send the request to this upstream. It replaces an earlier send of the request.
struct send_request {
    request_number request{0};
    upstream_ptr upstream;
    upstream_ptr copy_from; ///< Engine from which cached parts of the prompt are copied first; nullptr: none.
    duration time_left{0};
    std::string workspace;   ///< Empty for a public route without a key.
    std::uint8_t urgency{0}; ///< 0 is the most urgent.
    bool is_generation{false};
    bool is_stream{false};
    bool repeatable{false}; ///< A failure response is reported before it is forwarded.
    bool resumable{false};
};

/// Send the caller this final response of the router. The caller has received nothing so far.
struct respond_to_caller {
    request_number request{0};
    int status{0};
    result_code code{result_code::internal};
    std::optional<duration> retry_after;
};

/// Forward the failure response that was held back.
struct pass_failure {
    request_number request{0};
};

/// Close the caller's connection, because the response that was begun cannot be completed.
struct abort_caller {
    request_number request{0};
};

/// Close the upstream connection of this request.
struct stop_send {
    request_number request{0};
};

/// Cancel the sends to this upstream that have no connection yet. Each is reported as `recalled`.
struct recall_unsent {
    std::string upstream;
};

/// A log line: a decision, its reason and its outcome.
struct log_decision {
    std::string event;
    std::string request_id;
    std::string upstream;
    std::string detail;
};

/// Record the metrics of a request that has ended.
struct measure_request {
    std::string route;
    /// Result of the router's own response; `ok` if an upstream's response was forwarded.
    result_code code{result_code::ok};
    std::uint8_t urgency{0};
    bool on_time{false}; ///< Within the route's objective.
    duration first_event{0};
    duration total{0};
    std::uint32_t sends{0};
};

/// A request of this workspace began to run; given once for each request.
struct count_usage {
    std::string workspace;
};

/// Publish a soft state item to the other daemons.
struct publish_soft_state {
    soft_state_item item;
};

/// Write a quarantined prompt part to the store.
struct record_quarantine {
    quarantined_part quarantined;
};

/// Remove the record of a prompt part from the store.
struct remove_quarantine_record {
    std::uint64_t part{0};
};

/// Write the suspicions of this daemon to the store, in place of those written before.
struct record_suspicions {
    std::vector<suspicion> suspicions;
};

/// Send the other daemons a message about the origin of a stream, at once. It may be lost.
struct send_stream_message {
    std::vector<std::string> daemons;
    stream_message message;
};

using router_action =
    std::variant<send_request, respond_to_caller, pass_failure, abort_caller, stop_send, recall_unsent,
                 log_decision, measure_request, count_usage, publish_soft_state, record_quarantine,
                 remove_quarantine_record, record_suspicions, send_stream_message>;

} // namespace clementinegap
