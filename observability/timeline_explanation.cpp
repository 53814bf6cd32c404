#include "observability/timeline_explanation.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace clementinegap {
namespace {

using namespace std::string_view_literals;

struct phrase {
    std::string_view kind;
    std::string_view text; ///< "%u" stands for the upstream.
};

constexpr std::array phrases{
    phrase{"request.admitted", "the entry admitted it"},
    phrase{"request.refused_at_admission", "the entry refused it before it went anywhere"},
    phrase{"request.reserved", "a slot was asked for at %u"},
    phrase{"request.refused", "%u would not take it"},
    phrase{"request.dispatched", "it was sent to %u"},
    phrase{"request.started", "%u said that it started"},
    phrase{"request.first_token", "the first token came from %u"},
    phrase{"request.attempt_lost", "the attempt at %u was lost"},
    phrase{"request.hedged", "a second attempt was started at %u"},
    phrase{"request.ended", "it ended"},
    phrase{"run.claiming", "%u wrote the run record before the start"},
    phrase{"run.started", "%u gave it to its engine"},
    phrase{"run.detached", "%u went on without its entry"},
    phrase{"run.cancelled", "%u cancelled it at the engine"},
    phrase{"run.answered_from_record", "%u answered from the run record"},
    phrase{"grant.lapsed", "the slot that %u held for it lapsed"},
    phrase{"slot.lent", "%u lent it a slot for one slice"},
    phrase{"run.set_aside", "%u set it aside for other work"},
    phrase{"attempt.displaced", "%u gave its place in the queue to work of a higher tier"},
    phrase{"request.displaced", "it gave its place in the full table to a request of a higher tier"},
    phrase{"attempt.refused", "%u refused the attempt"},
    phrase{"attempt.ended", "the attempt at %u ended"},
};

std::string words_for(const timeline_event& event)
{
    const auto* found = std::ranges::find(phrases, std::string_view(event.record.kind), &phrase::kind);
    std::string text(found == phrases.end() ? std::string_view(event.record.kind) : found->text);
    const auto place = text.find("%u");
    if (place != std::string::npos) {
        text.replace(place, 2, event.record.upstream);
    } else if (found == phrases.end() && !event.record.upstream.empty()) {
        text += " at " + event.record.upstream;
    }
    return text;
}

std::string milliseconds_text(std::int64_t us)
{
    constexpr std::int64_t us_per_tenth = 100;
    const auto tenths = us / us_per_tenth;
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " ms";
}

const timeline_event* last_of(std::span<const timeline_event> events, std::string_view kind)
{
    const auto found = std::find_if(events.rbegin(), events.rend(),
                                    [&](const timeline_event& event) { return event.record.kind == kind; });
    return found == events.rend() ? nullptr : &*found;
}

const timeline_event* first_of(std::span<const timeline_event> events, std::string_view kind)
{
    const auto found =
        std::ranges::find_if(events, [&](const timeline_event& event) { return event.record.kind == kind; });
    return found == events.end() ? nullptr : &*found;
}

std::string span_line(std::string_view what, const timeline_event* from, const timeline_event* to)
{
    if (from == nullptr || to == nullptr || to->at < from->at) {
        return "";
    }
    return "  " + std::string(what) + ": " + milliseconds_text(to->at.wall - from->at.wall) + "\n";
}

/// Where the time went. Times of one process only, since the wall clocks of two VMs differ.
std::string spans(std::span<const timeline_event> events)
{
    const auto* admitted = first_of(events, "request.admitted");
    const auto* dispatched = last_of(events, "request.dispatched");
    const auto* started = last_of(events, "request.started");
    const auto* first_token = first_of(events, "request.first_token");
    const auto* ended = last_of(events, "request.ended");
    return span_line("waiting for a slot, until the last dispatch", admitted, dispatched) +
           span_line("from the dispatch to the start at the upstream", dispatched, started) +
           span_line("from the start to the first token", started, first_token) +
           span_line("from the first token to the end", first_token, ended) +
           span_line("in all", admitted, ended);
}

/// Why the first token was late: the longest of the spans before it; empty when it was in time.
std::string lateness(std::span<const timeline_event> events)
{
    const auto* admitted = first_of(events, "request.admitted");
    const auto* dispatched = last_of(events, "request.dispatched");
    const auto* started = last_of(events, "request.started");
    const auto* token = first_of(events, "request.first_token");
    if (token == nullptr || !token->record.detail.starts_with("late") || admitted == nullptr ||
        dispatched == nullptr || started == nullptr) {
        return "";
    }
    const std::array causes{
        std::pair(dispatched->at.wall - admitted->at.wall, "it waited for a slot"sv),
        std::pair(started->at.wall - dispatched->at.wall, "the upstream daemon was slow to start it"sv),
        std::pair(token->at.wall - started->at.wall, "the engine was slow to give the first token"sv)};
    const auto longest = std::ranges::max(causes);
    return "Its first token was " + token->record.detail + ", mostly because " + std::string(longest.second) +
           " (" + milliseconds_text(longest.first) + ").\n";
}

std::string verdict(std::span<const timeline_event> events)
{
    if (const auto* refused = first_of(events, "request.refused_at_admission")) {
        return "Refused at admission: " + refused->record.detail + ". It was not run.\n";
    }
    const auto* ended = last_of(events, "request.ended");
    if (ended == nullptr) {
        return "It has not ended, or its end is no longer in the entry's ring.\n";
    }
    std::string text = "It ended: " + ended->record.detail + ".\n" + lateness(events);
    if (const auto* dispatched = last_of(events, "request.dispatched")) {
        text += "It was on " + dispatched->record.upstream + " because: " + dispatched->record.detail + ".\n";
    } else if (const auto* refused = last_of(events, "request.refused")) {
        text += "It was never dispatched; the last upstream that refused it was " + refused->record.upstream +
                ": " + refused->record.detail + ".\n";
    } else {
        text += "It was never dispatched, and no upstream answered for it.\n";
    }
    return text;
}

} // namespace

std::string explain_request(std::span<const timeline_event> events)
{
    if (events.empty()) {
        return "No process has an event of this request; it is unknown, or older than the rings reach.\n";
    }
    const auto& first = events.front().record;
    std::string text = "Request " + first.request_id + ", class " + first.class_name + ", workspace " +
                       first.workspace + ", " + utc_text(events.front().at.wall) + ".\n";
    text += verdict(events);
    if (const auto where = spans(events); !where.empty()) {
        text += "Where its time went:\n" + where;
    }
    text += "Step by step:\n";
    for (const auto& event : events) {
        text += "  +" + milliseconds_text(std::max<std::int64_t>(0, event.at.wall - events.front().at.wall)) +
                " " + event.vm + ": " + words_for(event);
        text += event.record.detail.empty() ? "\n" : " (" + event.record.detail + ")\n";
    }
    return text;
}

} // namespace clementinegap
