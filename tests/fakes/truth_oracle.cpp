#include "fakes/truth_oracle.h"

#include "core/checked_json.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr std::uint32_t default_tokens = 5;
constexpr std::string_view error_event = "event: error\n";

} // namespace

std::string expected_answer(const std::string& body)
{
    const auto parsed = json::parse(body, nullptr, false);
    const bool is_object = parsed.is_object();
    const auto tokens = is_object ? parsed.value("stand_in_tokens", default_tokens) : default_tokens;
    const bool streamed = !is_object || parsed.value("stream", true);
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        const auto token = expected_token(body, i);
        text += streamed ? "data: " + token + "\n\n" : token;
    }
    return streamed ? text + "data: [DONE]\n\n" : text;
}

caller_id truth_oracle::send(const std::string& entry, const caller_request& request, bool never_repeat)
{
    sent_request sent;
    sent.body = request.body;
    sent.never_repeat = never_repeat;
    sent.expected = expected_answer(request.body);
    if (never_repeat) {
        sent.key = request.idempotency_key;
    }
    if (!sent.key.empty()) {
        auto& bodies = bodies_of_key_[sent.key];
        if (std::ranges::find(bodies, sent.body) == bodies.end()) {
            bodies.push_back(sent.body);
        }
    }
    sent.ran_before = sent.key.empty() ? executions_of(sent.body) : 0;
    // A new send may run although an earlier one was told that it had not.
    told_not_run_.erase(sent.body);
    sent.caller = deployment_.send(entry, request);
    sent_.push_back(sent);
    return sent.caller;
}

int truth_oracle::executions_of(const std::string& body) const
{
    int count = 0;
    for (const auto& vm : deployment_.upstreams()) {
        const auto& ledger = deployment_.engine_of(vm).executions();
        const auto found = ledger.find(body);
        count += found == ledger.end() ? 0 : found->second;
    }
    return count;
}

int truth_oracle::executions_under(const std::string& key) const
{
    int count = 0;
    for (const auto& body : bodies_of_key_.at(key)) {
        count += executions_of(body);
    }
    return count;
}

void truth_oracle::fault(const sent_request& request, const std::string& text)
{
    const auto key = request.key.empty() ? "" : " (key " + request.key + ")";
    faults_.push_back("request " + std::to_string(request.caller) + key + ": " + text);
}

const std::vector<std::string>& truth_oracle::check()
{
    std::uint64_t starts = 0;
    for (const auto& vm : deployment_.upstreams()) {
        starts += deployment_.engine_of(vm).starts();
    }
    for (auto& request : sent_) {
        if (!request.closed) {
            check_answer(request);
        }
    }
    if (starts != starts_seen_) {
        starts_seen_ = starts;
        check_ledger();
    }
    return faults_;
}

void truth_oracle::check_answer(sent_request& request)
{
    const auto& seen = deployment_.transcript_of(request.caller);
    const bool is_success_form = seen.status == 0 || seen.status < 400;
    if (is_success_form && seen.body.size() != request.checked_bytes) {
        const auto answer = std::string_view(seen.body).substr(0, seen.body.find(error_event));
        if (!std::string_view(request.expected).starts_with(answer)) {
            fault(request, "got bytes that are not of its own answer");
        }
        request.checked_bytes = seen.body.size();
    }
    if (!seen.open()) {
        request.closed = true;
        check_end_of(request, seen);
    }
}

void truth_oracle::check_end_of(sent_request& request, const transcript& seen)
{
    if (seen.succeeded()) {
        if (seen.body != request.expected) {
            fault(request, "got an incomplete answer that is not marked as failed");
        }
        return;
    }
    const auto ran = seen.ran();
    if (!ran) {
        if (!seen.aborted) {
            fault(request, "failed without saying whether it ran");
        }
        return;
    }
    const int executions = executions_of(request.body);
    if (*ran == ran_state::yes && executions == 0) {
        fault(request, "was told `ran: yes` but never ran");
    }
    if (*ran == ran_state::no) {
        told_not_run_.emplace(request.body, executions);
        if (executions > request.ran_before) {
            fault(request, "was told `ran: no` but ran");
        }
    }
}

void truth_oracle::check_ledger()
{
    for (const auto& [body, runs] : told_not_run_) {
        if (executions_of(body) > runs) {
            faults_.push_back("told `ran: no`, ran later: " + body);
        }
    }
    for (const auto& [key, bodies] : bodies_of_key_) {
        if (executions_under(key) > 1) {
            faults_.push_back("key " + key + " ran " + std::to_string(executions_under(key)) + " times");
        }
    }
    for (const auto& request : sent_) {
        if (request.never_repeat && request.key.empty() && executions_of(request.body) > 1) {
            fault(request, "may not be repeated and ran twice");
        }
    }
}

const std::vector<std::string>& truth_oracle::check_end()
{
    check();
    for (const auto& request : sent_) {
        if (!request.closed) {
            fault(request, "has no answer");
        }
    }
    for (const auto& vm : deployment_.entries()) {
        if (deployment_.is_alive(vm) && deployment_.core_of_entry(vm).request_count() > 0) {
            faults_.push_back(vm + " still holds requests");
        }
    }
    for (const auto& vm : deployment_.upstreams()) {
        if (!deployment_.is_alive(vm)) {
            continue;
        }
        const auto& core = deployment_.core_of_upstream(vm);
        if (core.queued() > 0 || core.busy_slots() > 0) {
            faults_.push_back(vm + " still holds " + std::to_string(core.queued()) + " queued, " +
                              std::to_string(core.busy_slots()) + " slots");
        }
        if (core.open_records() > 0) {
            faults_.push_back(vm + " still holds run records");
        }
    }
    return faults_;
}

} // namespace clementinegap
