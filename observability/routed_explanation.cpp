#include "observability/routed_explanation.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <vector>

namespace clementinegap {
namespace {

using event_list = std::vector<const timeline_event*>;

/// Requests that one crash breaks are told within it, by entries whose clocks agree so far.
constexpr std::int64_t same_crash_us = 50000;
/// An upstream that crashed is met as unreachable, or leaves the directory, within it.
constexpr std::int64_t aftermath_us = 5000000;
/// A wait at the engine beyond it is named as a cause.
constexpr std::int64_t notable_wait_ms = 250;
/// A caller that left after less time than this left by its own choice.
constexpr std::int64_t long_wait_ms = 1000;

/// The words after which a figure or name stands in a detail, such as "wait_ms 20 prefill 500".
std::map<std::string, std::string, std::less<>> named_values(std::string_view detail)
{
    std::vector<std::string> words;
    for (std::size_t at = 0; at < detail.size();) {
        const auto end = std::min(detail.find(' ', at), detail.size());
        words.emplace_back(detail.substr(at, end - at));
        at = end + 1;
    }
    std::map<std::string, std::string, std::less<>> values;
    for (std::size_t i = 0; i + 1 < words.size(); i += 2) {
        values[words[i]] = words[i + 1];
    }
    return values;
}

std::string value_of(const timeline_event& event, std::string_view name)
{
    const auto values = named_values(event.record.detail);
    const auto found = values.find(name);
    return found == values.end() ? "?" : found->second;
}

std::int64_t figure_of(const timeline_event& event, std::string_view name)
{
    const auto text = value_of(event, name);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

const timeline_event* last_of(const event_list& events, std::string_view kind)
{
    const auto found = std::find_if(events.rbegin(), events.rend(),
                                    [&](const auto* event) { return event->record.kind == kind; });
    return found == events.rend() ? nullptr : *found;
}

bool near(const timeline_event& left, const timeline_event& right, std::int64_t before, std::int64_t after)
{
    return left.at.wall >= right.at.wall - before && left.at.wall <= right.at.wall + after;
}

std::string after_ms(const timeline_event& first, const timeline_event& event)
{
    constexpr std::int64_t us_per_ms = 1000;
    return std::string("+").append(std::to_string((event.at.wall - first.at.wall) / us_per_ms)).append(" ms");
}

std::string fault_text(const timeline_event& failed)
{
    const auto& detail = failed.record.detail;
    const std::string at = " " + failed.record.upstream;
    const std::array<std::pair<std::string_view, std::string>, 7> texts{{
        {"recalled", "it was taken back before a connection to" + at + " was made; nothing was sent"},
        {"unreachable", "no connection to" + at + "; nothing was sent"},
        {"not_run", "it was turned away by" + at + " without having run"},
        {"wrong_instance", "another process answered at the address of" + at + "; it did not run"},
        {"lost", "the connection to" + at + " ended before the answer was whole"},
        {"failed_answer", "it was run and answered with a failure by" + at},
        {"bad_answer", "what came from" + at + " was no answer to this request"},
    }};
    const auto found =
        std::ranges::find_if(texts, [&](const auto& text) { return detail.starts_with(text.first); });
    const auto* text = found == texts.end() ? &detail : &found->second;
    return *text + (detail.ends_with("begun") ? ", after a part of it had reached the caller" : "");
}

/// What others saw of the upstream around the time at which this request was lost there.
std::string upstream_context(std::span<const timeline_event> events, const timeline_event& failed)
{
    std::set<std::string> others;
    bool unreachable = false;
    bool removed = false;
    bool returned = false;
    for (const auto& event : events) {
        if (event.record.upstream != failed.record.upstream) {
            continue;
        }
        const auto& kind = event.record.kind;
        const bool is_lost = kind == "request.send_failed" && event.record.detail.starts_with("lost");
        if (is_lost && near(event, failed, same_crash_us, same_crash_us) &&
            event.record.request_id != failed.record.request_id) {
            others.insert(event.record.request_id);
        }
        const bool after = near(event, failed, same_crash_us, aftermath_us);
        unreachable = unreachable || (after && kind == "request.send_failed" &&
                                      event.record.detail.starts_with("unreachable"));
        removed = removed || (after && kind == "upstream.removed");
        returned = returned || (after && kind == "upstream.listed");
    }
    if (others.empty() && !unreachable && !removed) {
        return "  Nothing else was lost at " + failed.record.upstream +
               " then: a single broken connection or answer, not a crash of the upstream.\n";
    }
    std::string text = "  Requests lost at " + failed.record.upstream +
                       " within 50 ms besides this one: " + std::to_string(others.size());
    text += unreachable ? ", and connections to it failed afterwards" : "";
    text += removed ? ", and it left the directory" : "";
    text += returned ? ", and it was listed anew" : "";
    return text + (unreachable || removed || returned ? ": its process ended.\n" : ".\n");
}

std::string store_context(std::span<const timeline_event> events, const timeline_event& end)
{
    bool lost = false;
    for (const auto& event : events) {
        if (event.vm != end.vm || event.at.wall > end.at.wall) {
            continue;
        }
        lost = event.record.kind == "directory.lost" || (lost && event.record.kind != "directory.regained");
    }
    return lost ? "  The entry could not read the platform's directory at the time.\n" : "";
}

std::string refusal_text(const event_list& own, const timeline_event& end)
{
    if (const auto* too_long = last_of(own, "request.cannot_end")) {
        return "it was refused, because at the present pace it needs " + value_of(*too_long, "needs_ms") +
               " ms and its caller waits " + value_of(*too_long, "left_ms") +
               " ms: a burst of work for engines of its kind, or too few of them";
    }
    if (end.record.detail.find("no upstream can end it in time") != std::string::npos) {
        return "it was refused, because no upstream was listed that could begin it in time";
    }
    if (end.record.detail.find("no upstream accepts it now") != std::string::npos) {
        return "it was refused, because each upstream of its service had asked for a pause "
               "or was at the rate limit that it named (" +
               end.record.detail + ")";
    }
    return "it was refused: " + end.record.detail;
}

/// How far the answer was.
std::string progress_text(const event_list& own, const timeline_event& end)
{
    const auto* sent = last_of(own, "request.sent");
    const auto first = value_of(end, "first_ms");
    if (sent == nullptr) {
        return "it was not being sent";
    }
    return first == "none" ? "nothing had come from " + sent->record.upstream
                           : "its answer had begun after " + first + " ms at " + sent->record.upstream;
}

std::string verdict_text(const event_list& own, const timeline_event& end)
{
    const auto& kind = end.record.kind;
    if (kind == "request.completed" && end.record.detail.ends_with("upstream_failed")) {
        return "it was run by " + end.record.upstream +
               ", which answered with a failure; that was passed on, since it may not be repeated";
    }
    if (kind == "request.failure_passed") {
        return "its upstream's own failure was passed on, " + end.record.detail;
    }
    if (kind == "request.completed") {
        return "it was answered after " + value_of(end, "total_ms") + " ms; the first event came after " +
               value_of(end, "first_ms") + " ms";
    }
    if (kind == "request.refused") {
        return refusal_text(own, end);
    }
    if (kind == "request.failed") {
        return "it ended with an unknown outcome: it reached an upstream, may have run, and may not be "
               "repeated";
    }
    if (kind == "request.cut") {
        return "its stream was broken off: it could not go on at another upstream";
    }
    if (kind == "request.expired") {
        return "its time was over after " + value_of(end, "age_ms") + " ms; " + progress_text(own, end);
    }
    if (kind == "request.caller_left") {
        const auto age = figure_of(end, "age_ms");
        return "its caller left after " + std::to_string(age) + " ms" +
               (age > long_wait_ms ? ", perhaps at its own deadline; " : "; ") + progress_text(own, end);
    }
    return "its end is not in these lines";
}

/// Why a request has no end: its daemon was killed, or goes on without having told.
std::string missing_end_text(std::span<const timeline_event> events, const timeline_event& last)
{
    for (const auto& event : events) {
        if (event.vm == last.vm && event.at.wall >= last.at.wall && event.record.kind == "daemon.started") {
            return "  The process at " + last.vm + " ended without a word and was started again " +
                   after_ms(last, event) + " later: its open requests were lost with it.\n";
        }
    }
    const auto alive = std::ranges::any_of(events, [&](const timeline_event& event) {
        return event.vm == last.vm && event.at.wall > last.at.wall;
    });
    return "  The process at " + last.vm +
           (alive ? " wrote on: the request was still open, as when the path to its caller or upstream is "
                    "cut.\n"
                  : " wrote nothing more: it was killed, paused, or its log ends here.\n");
}

bool is_end(const timeline_event& event)
{
    constexpr std::array kinds{"request.completed",      "request.refused", "request.failed",
                               "request.failure_passed", "request.cut",     "request.expired",
                               "request.caller_left"};
    return std::ranges::find(kinds, event.record.kind) != kinds.end();
}

std::string step_text(const timeline_event& event)
{
    const auto& kind = event.record.kind;
    if (kind == "request.sent") {
        auto text = "sent to " + event.record.upstream + " (expected wait " + value_of(event, "wait_ms") +
                    " ms, " + value_of(event, "prefill") + " tokens to read, " + value_of(event, "left_ms") +
                    " ms left";
        const auto source = value_of(event, "copy_from");
        return text + (source == "?" ? ")" : ", shared parts copied from " + source + ")");
    }
    if (kind == "request.send_failed") {
        return fault_text(event);
    }
    if (kind == "request.moved") {
        return "no answer in time for its objective; tried elsewhere";
    }
    return kind + (event.record.detail.empty() ? "" : ": " + event.record.detail);
}

} // namespace

std::string explain_routed_request(std::span<const timeline_event> events, std::string_view request_id)
{
    event_list own;
    for (const auto& event : events) {
        if (event.record.request_id == request_id) {
            own.push_back(&event);
        }
    }
    if (own.empty()) {
        return "No line names this request: it reached no entry whose log was read, or its lines were "
               "dropped "
               "(log.dropped).\n";
    }
    const auto& first = *own.front();
    const auto& end = *own.back();
    std::string text = "Request " + first.record.request_id + " at " + first.vm + ", " +
                       utc_text(first.at.wall) + ": " + verdict_text(own, end) + ".\n";
    const auto* sent = last_of(own, "request.sent");
    const auto* failed = last_of(own, "request.send_failed");
    const bool served = end.record.kind == "request.completed";
    if (failed != nullptr && !served) {
        text += "Because " + fault_text(*failed) + ".\n";
        if (failed->record.detail.starts_with("lost")) {
            text += upstream_context(events, *failed);
        }
    } else if (sent != nullptr && figure_of(*sent, "wait_ms") > notable_wait_ms) {
        text += "Because " + value_of(*sent, "wait_ms") + " ms of other prompts were before it at " +
                sent->record.upstream + ", the best engine for it.\n";
    }
    text += is_end(end) ? "" : missing_end_text(events, end);
    text += store_context(events, end);
    text += "Step by step:\n";
    for (const auto* event : own) {
        text += "  " + after_ms(first, *event) + " " + step_text(*event) + "\n";
    }
    return text;
}

} // namespace clementinegap
