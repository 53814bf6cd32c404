#include "core/result_code.h"

#include <algorithm>
#include <array>

namespace clementinegap {
namespace {

constexpr std::array table{
    result_code_entry{result_code::ok, "ok", 200, "The request was served."},
    result_code_entry{result_code::malformed_body, "malformed_body", 400,
                      "The body is not valid JSON of the expected shape."},
    result_code_entry{result_code::body_too_large, "body_too_large", 413, "The body exceeds the size limit."},
    result_code_entry{result_code::unknown_class, "unknown_class", 400,
                      "The request class is not configured."},
    result_code_entry{result_code::unknown_model, "unknown_model", 404,
                      "No upstream serves this model or service."},
    result_code_entry{result_code::key_required, "key_required", 400,
                      "The class requires an Idempotency-Key header."},
    result_code_entry{result_code::key_reused, "key_reused", 422,
                      "The idempotency key was used with a different body."},
    result_code_entry{result_code::unauthorized, "unauthorized", 401,
                      "The bearer key is missing or unknown."},
    result_code_entry{result_code::not_found, "not_found", 404, "The path does not exist."},
    result_code_entry{result_code::sender_too_slow, "sender_too_slow", 408,
                      "The request was not received in time."},
    result_code_entry{result_code::bad_header, "bad_header", 400,
                      "A header has a value that is not allowed."},
    result_code_entry{result_code::method_not_allowed, "method_not_allowed", 405,
                      "The path does not take this method."},
    result_code_entry{result_code::rate_limited, "rate_limited", 429,
                      "The workspace exceeded its rate limit."},
    result_code_entry{result_code::overloaded, "overloaded", 503,
                      "Capacity is used by work of the same or a higher tier."},
    result_code_entry{result_code::deadline_expired, "deadline_expired", 504,
                      "The deadline passed before the request finished."},
    result_code_entry{result_code::quarantined, "quarantined", 503,
                      "The request is quarantined because upstreams crashed while running it."},
    result_code_entry{result_code::table_full, "table_full", 503,
                      "The daemon holds as many requests as its settings allow."},
    result_code_entry{result_code::no_upstream, "no_upstream", 503,
                      "No upstream for this request can be reached."},
    result_code_entry{result_code::upstream_lost, "upstream_lost", 502,
                      "The upstream was lost while the request may have been running."},
    result_code_entry{result_code::upstream_failed, "upstream_failed", 502,
                      "The upstream failed while it ran the request."},
    result_code_entry{result_code::answer_truncated, "answer_truncated", 502,
                      "The answer ended before it was complete."},
    result_code_entry{result_code::outcome_unknown, "outcome_unknown", 409,
                      "An attempt with this key was started and its outcome is unknown."},
    result_code_entry{result_code::store_unavailable, "store_unavailable", 503,
                      "The platform's table service cannot be reached."},
    result_code_entry{result_code::answer_not_kept, "answer_not_kept", 409,
                      "The request ran to its end under this key; its answer was too large to be kept."},
    result_code_entry{result_code::stream_cannot_continue, "stream_cannot_continue", 503,
                      "It is not known which software version began the stream, or none is left."},
    result_code_entry{result_code::not_ready, "not_ready", 503, "The daemon has no configuration yet."},
    result_code_entry{result_code::leaving, "leaving", 503, "The VM is leaving and takes no new requests."},
    result_code_entry{result_code::shut_down, "shut_down", 410,
                      "The service has ended on its announced date."},
    result_code_entry{result_code::cancelled, "cancelled", 499, "The caller cancelled the request."},
    result_code_entry{result_code::conflict, "conflict", 409, "Another change was accepted first."},
    result_code_entry{result_code::invalid_settings, "invalid_settings", 400,
                      "The settings file has errors."},
    result_code_entry{result_code::invalid_questionnaire, "invalid_questionnaire", 400,
                      "The questionnaire has errors."},
    result_code_entry{result_code::invalid_configuration, "invalid_configuration", 400,
                      "The configuration has errors."},
    result_code_entry{result_code::stale_fencing_number, "stale_fencing_number", 409,
                      "The order carries an outdated fencing number."},
    result_code_entry{result_code::store_answer_lost, "store_answer_lost", 504,
                      "The table service may or may not have applied the change."},
    result_code_entry{result_code::internal, "internal", 500, "An unexpected condition; see the log."},
};

} // namespace

std::span<const result_code_entry> result_codes()
{
    return table;
}

const result_code_entry& describe(result_code code)
{
    const auto found = std::ranges::find(table, code, &result_code_entry::code);
    return found == table.end() ? table.back() : *found;
}

std::string_view to_string(ran_state ran)
{
    switch (ran) {
    case ran_state::no:
        return "no";
    case ran_state::yes:
        return "yes";
    case ran_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace clementinegap
