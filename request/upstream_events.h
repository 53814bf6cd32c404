#pragma once

#include "config/configuration.h"
#include "core/event_record.h"
#include "request/entry_events.h"
#include "request/messages.h"
#include "request/run_record.h"

#include <cstdint>
#include <string>
#include <variant>

/// \file
/// The events that an upstream daemon's decision core processes and the actions that it returns.

namespace clementinegap {

/// Identifies a connected entry daemon within the upstream daemon.
using session_id = std::uint64_t;

/// Identifies one run at the engine within the upstream daemon.
using run_id = std::uint64_t;

struct entry_connected {
    session_id session{0};
};

struct entry_disconnected {
    session_id session{0};
};

struct entry_message_received {
    session_id session{0};
    entry_message message;
};

struct engine_head {
    run_id run{0};
    std::uint16_t status{200};
    std::string content_type;
};

struct engine_bytes {
    run_id run{0};
    std::string bytes;
    std::uint32_t tokens{0}; ///< Tokens in these bytes.
};

enum class engine_end_kind : std::uint8_t {
    complete,    ///< The response is complete.
    not_reached, ///< The connection was refused: no byte reached the engine.
    broken       ///< The connection broke, or the response is incomplete.
};

struct engine_ended {
    run_id run{0};
    engine_end_kind kind{engine_end_kind::complete};
};

/// The result of `claim_run`.
struct claim_completed {
    attempt_id attempt;
    store_result result{store_result::done};
    run_record existing; ///< The row that was there, with `exists`.
};

/// The result of `read_run`.
struct record_read {
    attempt_id attempt;
    store_result result{store_result::done};
    run_record record;
};

/// The result of `finish_run`.
struct finish_completed {
    attempt_id attempt;
    store_result result{store_result::done};
};

/// The result of `release_run`: `absent` when no record was there, `exists` when it was not the own one.
struct release_completed {
    attempt_id attempt;
    store_result result{store_result::done};
};

using upstream_event =
    std::variant<entry_connected, entry_disconnected, entry_message_received, engine_head, engine_bytes,
                 engine_ended, claim_completed, record_read, finish_completed, release_completed,
                 configuration_applied, drain_started, soft_state_received, tick>;

struct send_to_entry {
    session_id session{0};
    upstream_message message;
};

struct engine_start {
    run_id run{0};
    std::string request_id;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::uint8_t priority{0};
    bool never_repeat{false};
    std::uint32_t resume_from_token{0};
};

struct engine_cancel {
    run_id run{0};
};

/// Stops reading the engine's response until `engine_resume_reading`.
struct engine_pause_reading {
    run_id run{0};
};

struct engine_resume_reading {
    run_id run{0};
};

/// Asks the engine to pause the run and to free its slot until `engine_resume`.
struct engine_pause {
    run_id run{0};
};

struct engine_resume {
    run_id run{0};
};

/// Inserts the record if its key is absent.
struct claim_run {
    run_record record;
};

struct read_run {
    attempt_id attempt; ///< Identifies the requesting attempt in the result.
    std::string workspace;
    std::string key;
};

/// Replaces the record of an own attempt by its finished form.
struct finish_run {
    run_record record;
};

/// Removes the record of an own attempt that never started.
struct release_run {
    run_record record;
};

using upstream_action = std::variant<send_to_entry, engine_start, engine_cancel, engine_pause_reading,
                                     engine_resume_reading, engine_pause, engine_resume, claim_run, read_run,
                                     finish_run, release_run, emit_record, publish_item, drain_completed>;

} // namespace clementinegap
