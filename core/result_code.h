#pragma once

#include <cstdint>
#include <span>
#include <string_view>

/// \file
/// Numbered result codes returned to callers and operators, with the table that documents them.

namespace clementinegap {

/// The numbers are part of the public interface: a code never changes its number, and numbers of removed
/// codes are not reused.
enum class result_code : std::uint16_t {
    ok = 0,
    malformed_body = 100,
    body_too_large = 101,
    unknown_class = 102,
    unknown_model = 103,
    key_required = 104,
    key_reused = 105,
    unauthorized = 106,
    not_found = 107,
    sender_too_slow = 108,
    bad_header = 109,
    method_not_allowed = 110,
    rate_limited = 200,
    overloaded = 201,
    deadline_expired = 202,
    quarantined = 203,
    table_full = 204,
    no_upstream = 300,
    upstream_lost = 301,
    upstream_failed = 302,
    answer_truncated = 303,
    outcome_unknown = 304,
    store_unavailable = 305,
    answer_not_kept = 306,
    stream_cannot_continue = 307,
    not_ready = 400,
    leaving = 401,
    shut_down = 402,
    cancelled = 403,
    conflict = 500,
    invalid_settings = 501,
    invalid_questionnaire = 502,
    invalid_configuration = 503,
    stale_fencing_number = 504,
    store_answer_lost = 505,
    internal = 900,
};

/// One row of the table in docs/codes.md.
struct result_code_entry {
    result_code code;
    std::string_view name;
    std::uint16_t http_status;
    std::string_view text;
};

/// All codes in ascending order.
std::span<const result_code_entry> result_codes();

/// The table row of `code`, or the row of `internal` if the table does not contain it.
const result_code_entry& describe(result_code code);

/// Whether a request was executed by an upstream, as far as the daemon can determine.
enum class ran_state : std::uint8_t { no, unknown, yes };

std::string_view to_string(ran_state ran);

} // namespace clementinegap
