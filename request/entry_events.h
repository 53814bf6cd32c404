#pragma once

#include "config/configuration.h"
#include "core/event_record.h"
#include "core/result_code.h"
#include "core/soft_state.h"
#include "core/tick.h"
#include "core/time.h"
#include "request/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// \file
/// The events that an entry daemon's decision core processes and the actions that it returns.

namespace clementinegap {

/// Identifies a caller's open HTTP exchange within the daemon.
using caller_id = std::uint64_t;

using header_list = std::vector<std::pair<std::string, std::string>>;

/// A complete request of a caller, as the HTTP adapter parsed it.
struct caller_request {
    caller_id caller{0};
    std::string method;
    std::string path;
    std::string content_type;
    std::string key_sha256; ///< SHA-256 of the bearer key; empty without one.
    std::string class_name; ///< From the class header; empty without one.
    std::string idempotency_key;
    std::optional<duration> deadline; ///< From the deadline header.
    std::string model;                ///< The body's model, or the service of the path.
    bool stream{false};
    bool malformed{false};  ///< The body is not JSON where the path requires it.
    std::string bad_header; ///< What a header with an invalid value may be; empty when all are valid.
    std::string body;
    std::uint32_t prompt_tokens{0};
    std::vector<std::uint64_t> prefix_hashes;
};

struct caller_disconnected {
    caller_id caller{0};
};

/// The caller consumed this many more bytes of its response.
struct response_bytes_consumed {
    caller_id caller{0};
    std::uint32_t bytes{0};
};

struct upstream_connected {
    std::string vm;
};

struct upstream_disconnected {
    std::string vm;
};

struct upstream_message_received {
    std::string vm;
    upstream_message message;
};

struct configuration_applied {
    configuration_ptr value;
};

/// A planned stop begins: nothing new is admitted, what is admitted is finished.
struct drain_started {};

/// The cluster reports whether an upstream is leaving, as announced by the VM or by the platform.
struct upstream_leaving {
    std::string vm;
    bool is_leaving{false};
};

/// An item that another daemon published arrived.
struct soft_state_received {
    soft_state_item item;
};

using entry_event =
    std::variant<caller_request, caller_disconnected, response_bytes_consumed, upstream_connected,
                 upstream_disconnected, upstream_message_received, configuration_applied, drain_started,
                 soft_state_received, upstream_leaving, tick>;

struct send_to_upstream {
    std::string vm;
    entry_message message;
};

/// Starts a response whose body follows in chunks.
struct response_head {
    caller_id caller{0};
    std::uint16_t status{200};
    header_list headers;
};

struct response_bytes {
    caller_id caller{0};
    std::string bytes;
};

struct response_end {
    caller_id caller{0};
};

/// A complete response.
struct full_response {
    caller_id caller{0};
    std::uint16_t status{200};
    header_list headers;
    std::string body;
};

/// Closes the connection, because the response cannot be completed and its format cannot report a failure.
struct response_abort {
    caller_id caller{0};
};

struct emit_record {
    event_record record;
};

/// The end of a request, for metrics.
struct request_metrics {
    std::string class_name;
    result_code code{result_code::ok};
    ran_state ran{ran_state::yes};
    duration first_token{0}; ///< Zero when no token came.
    duration total{0};
    std::uint32_t tokens{0};
    bool target_met{false};
    int tier{0};
    duration queue_wait{0}; ///< From arrival to the first dispatch, or to the end without one.
    std::uint32_t dispatches{0};
    std::uint32_t wasted_tokens{0}; ///< Received, but not part of a complete response.
};

/// Propagates an item to the other daemons; the daemon fills in origin, incarnation and sequence.
struct publish_item {
    soft_state_item item;
};

/// The core has no requests left after a drain; the daemon may exit.
struct drain_completed {};

using entry_action =
    std::variant<send_to_upstream, response_head, response_bytes, response_end, full_response, response_abort,
                 emit_record, request_metrics, publish_item, drain_completed>;

} // namespace clementinegap
