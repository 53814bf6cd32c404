#pragma once

#include "core/result_code.h"
#include "core/soft_state.h"
#include "core/tick.h"
#include "routing/load_tracker.h"
#include "routing/prompt.h"
#include "routing/route_table.h"
#include "routing/send_fault.h"
#include "routing/upstream_directory.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// What the router is told and what it orders. Both sides carry facts only: bytes and connections stay with
/// the caller of the router.

namespace clementinegap {

using request_number = std::uint64_t;

/// A whole request was read.
struct request_arrived {
    request_number request{0};
    std::string id; ///< The caller's id, for the log.
    std::string host;
    std::string path;
    std::string api_key;              ///< Empty without one.
    std::optional<duration> deadline; ///< How long the caller waits.
    std::uint64_t body_hash{0};
    prompt_info prompt;
};

/// A send ended in a fault.
struct send_failed {
    request_number request{0};
    send_fault fault{send_fault::lost};
    bool response_begun{false}; ///< The caller has the head of the answer.
};

/// What an upstream said of itself in the head of an answer, besides the answer.
struct upstream_notice {
    std::string upstream;
    std::optional<std::int64_t> incarnation; ///< Of the process that was asked; nothing: the listed one.
    bool leaving{false};
    std::optional<duration> backoff; ///< It wants nothing from this daemon for so long.
    std::string unreadable;          ///< A header that makes no sense, for the log.

    bool has_content() const { return leaving || backoff.has_value() || !unreadable.empty(); }
};

/// The first event of a stream came.
struct first_event_seen {
    request_number request{0};
};

/// The whole answer was passed on.
struct request_completed {
    request_number request{0};
    bool upstream_failed{false}; ///< It was a failure answer of the upstream.
};

/// The caller closed its connection before the answer was complete.
struct caller_left {
    request_number request{0};
};

/// A newer configuration is to be in force.
struct configuration_received {
    std::shared_ptr<const route_table> table;
};

struct upstream_listed {
    upstream_record record;
};

struct upstream_removed {
    std::string id;
};

/// All upstreams that the directory has.
struct directory_listed {
    std::vector<upstream_record> records;
};

struct directory_unreachable {};
struct directory_reachable {};

struct load_reported {
    load_report report;
    std::vector<soft_state_item> items;
};

/// Daemons that are registered, this one included; the fleet may have fewer alive.
struct fleet_size_known {
    std::size_t daemons{1};
};

/// This process is to end: requests that come from now on must end by `last_end`.
struct drain_begun {
    time_point last_end{};
};

using router_event = std::variant<request_arrived, send_failed, upstream_notice, first_event_seen,
                                  request_completed, caller_left, configuration_received, upstream_listed,
                                  upstream_removed, directory_listed, directory_unreachable,
                                  directory_reachable, load_reported, fleet_size_known, drain_begun, tick>;

/// Send the request to this upstream, in place of an earlier send of it.
struct send_request {
    request_number request{0};
    upstream_ptr upstream;
    upstream_ptr copy_from; ///< Engine whose cached parts of the prompt it copies first; nullptr: none.
    duration time_left{0};
    std::string workspace;   ///< Empty for a public route without a key.
    std::uint8_t urgency{0}; ///< 0 is the most urgent.
    bool is_generation{false};
    bool is_stream{false};
    bool repeatable{false}; ///< A failure answer is reported before it is passed on.
    bool resumable{false};
};

/// Give the caller this final answer of the router's own. It has had nothing so far.
struct respond_to_caller {
    request_number request{0};
    int status{0};
    result_code code{result_code::internal};
    std::optional<duration> retry_after;
};

/// Pass on the failure answer that was held back.
struct pass_failure {
    request_number request{0};
};

/// End the caller's connection: the answer that was begun cannot be completed.
struct abort_caller {
    request_number request{0};
};

/// Close the upstream connection of this request.
struct stop_send {
    request_number request{0};
};

/// Take back the sends to this upstream that have no connection yet; each is reported as `recalled`.
struct recall_unsent {
    std::string upstream;
};

/// A line for the log: a decision, what decided it and the outcome.
struct log_decision {
    std::string event;
    std::string request_id;
    std::string upstream;
    std::string detail;
};

/// A request is over: what is counted of it.
struct measure_request {
    std::string route;
    result_code code{result_code::ok}; ///< Of the router's own answer; `ok` when an upstream's was passed on.
    std::uint8_t urgency{0};
    bool on_time{false}; ///< Within the route's objective.
    duration first_event{0};
    duration total{0};
    std::uint32_t sends{0};
};

/// Tell the other daemons.
struct spread_item {
    soft_state_item item;
};

using router_action = std::variant<send_request, respond_to_caller, pass_failure, abort_caller, stop_send,
                                   recall_unsent, log_decision, measure_request, spread_item>;

} // namespace clementinegap
