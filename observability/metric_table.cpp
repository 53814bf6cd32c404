#include "observability/metric_table.h"

#include <algorithm>
#include <array>

namespace clementinegap {
namespace {

using enum metric_kind;

constexpr std::array table{
    metric_definition{"clementinegap_buffered_bytes", gauge, "",
                      "Bytes of requests and responses that the process holds."},
    metric_definition{"clementinegap_busy_slots", gauge, "", "Slots of the upstream that are taken."},
    metric_definition{"clementinegap_caller_connections", gauge, "", "Open connections of callers."},
    metric_definition{"clementinegap_configuration_unconfirmed_seconds", gauge, "",
                      "Time since the store last showed that no newer configuration exists."},
    metric_definition{"clementinegap_configuration_version", gauge, "",
                      "Version of the configuration in force on this daemon; 0 before the first."},
    metric_definition{"clementinegap_connections_shed", gauge, "",
                      "Connections that were closed for memory or for other connections since the start."},
    metric_definition{"clementinegap_directory_unconfirmed_seconds", gauge, "",
                      "Time since the store last showed that the directory has not changed unseen."},
    metric_definition{"clementinegap_draining", gauge, "", "1 while the daemon finishes its work to exit."},
    metric_definition{"clementinegap_duty_holder", gauge, "",
                      "1 while this daemon holds the duty of usage reports."},
    metric_definition{"clementinegap_duty_token", gauge, "",
                      "The newest fencing token of the duty that this daemon knows; 0: none."},
    metric_definition{"clementinegap_events_total", counter, "kind", "Events of the time line."},
    metric_definition{"clementinegap_first_token_seconds", histogram, "class",
                      "From arrival to the first token."},
    metric_definition{"clementinegap_good_requests_total", counter, "class",
                      "Requests that ended well and met their target."},
    metric_definition{"clementinegap_good_tokens_total", counter, "class",
                      "Tokens of requests that met their target; the goodput."},
    metric_definition{
        "clementinegap_held_bytes", gauge, "",
        "Bytes that the connections of peers hold, in the process and in buffers of the system."},
    metric_definition{"clementinegap_inter_token_seconds", histogram, "class",
                      "Mean time between two tokens of one answer."},
    metric_definition{"clementinegap_members", gauge, "", "Daemons that this one knows as live."},
    metric_definition{"clementinegap_overlay_bytes_received", gauge, "",
                      "Bytes of soft state received from neighbours since the start."},
    metric_definition{"clementinegap_overlay_bytes_sent", gauge, "",
                      "Bytes of soft state sent to neighbours since the start."},
    metric_definition{"clementinegap_overlay_items", gauge, "", "Soft-state items held."},
    metric_definition{"clementinegap_overlay_peers", gauge, "", "Open overlay streams."},
    metric_definition{"clementinegap_queue_wait_seconds", histogram, "tier",
                      "From arrival to the first dispatch to an upstream."},
    metric_definition{"clementinegap_queued", gauge, "",
                      "Reservations that wait for a slot at this upstream."},
    metric_definition{"clementinegap_refusals_total", counter, "code,tier",
                      "Requests that ended with a code other than ok."},
    metric_definition{"clementinegap_request_seconds", histogram, "class",
                      "From arrival to the end of the answer."},
    metric_definition{"clementinegap_requests_open", gauge, "", "Requests that the entry holds."},
    metric_definition{"clementinegap_requests_total", counter, "class,code,target_met",
                      "Requests that ended."},
    metric_definition{"clementinegap_retries_total", counter, "class",
                      "Dispatches of a request after its first."},
    metric_definition{"clementinegap_ring_refused", gauge, "",
                      "Events that the decision thread's full ring turned away since the start."},
    metric_definition{"clementinegap_store_failures_total", counter, "operation",
                      "Calls of the platform that were refused, lost or timed out."},
    metric_definition{"clementinegap_store_seconds", histogram, "operation",
                      "Time of a call of the platform."},
    metric_definition{"clementinegap_timeline_dropped", gauge, "",
                      "Events that left the ring of the time line since the start."},
    metric_definition{"clementinegap_tokens_total", counter, "class", "Tokens relayed to callers."},
    metric_definition{"clementinegap_upstream_limits", gauge, "",
                      "Upstreams that name a limit of requests a second."},
    metric_definition{"clementinegap_usage_silent_daemons", gauge, "",
                      "Daemons whose counts the last usage report lacked."},
    metric_definition{"clementinegap_usage_windows_total", counter, "result",
                      "Usage reports of windows, by how they ended."},
    metric_definition{"clementinegap_wasted_tokens_total", counter, "class",
                      "Tokens that were made and did not end in a whole answer."},
};

} // namespace

std::span<const metric_definition> metric_table()
{
    return table;
}

const metric_definition* find_metric(std::string_view name)
{
    const auto* found = std::ranges::find(table, name, &metric_definition::name);
    return found == table.end() ? nullptr : found;
}

std::string_view to_string(metric_kind kind)
{
    switch (kind) {
    case metric_kind::counter:
        return "counter";
    case metric_kind::gauge:
        return "gauge";
    case metric_kind::histogram:
        break;
    }
    return "histogram";
}

} // namespace clementinegap
