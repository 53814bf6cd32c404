#include "request/entry_core.h"

#include "request/decision_reason.h"
#include "request/execution_state.h"
#include "request/request_summary.h"

#include <algorithm>
#include <utility>

namespace clementinegap {

entry_core::entry_core(entry_core_settings settings)
    : context_(std::move(settings)), requests_(context_.settings.max_requests),
      attempts_(context_.settings.incarnation), admission_(context_), responses_(context_),
      search_(context_, pools_, attempts_, *this), dispatcher_(context_, attempts_, requests_, search_)
{
}

std::span<const entry_action> entry_core::on_event(const entry_event& event, time_point now)
{
    context_.actions.clear();
    context_.now = std::max(context_.now, now);
    context_.timers.run_due(context_.now);
    std::visit([this](const auto& value) { handle(value); }, event);
    return context_.actions;
}

// --- Callers

void entry_core::handle(const caller_request& event)
{
    if (const auto notice = admission_.refusal_of(event, pools_.views(), requests_, draining_)) {
        responses_.refuse(event, *notice);
        return;
    }
    if (event.path == models_path) {
        context_.act(model_list_response(event.caller, pools_.views(), context_.new_request_id()));
        return;
    }
    const auto& owner = *admission_.workspace_of(event.key_sha256);
    const auto& rules = *admission_.class_of(event);
    if (const auto notice = admission_.charge_limits(owner, rules)) {
        responses_.refuse(event, *notice);
        return;
    }
    if (requests_.full()) {
        make_room_for(rules.tier);
    }
    const auto request = admission_.admit(event, owner, rules);
    request->deadline_timer =
        context_.timers.schedule(request->deadline_at, [this, request](time_point) { on_deadline(request); });
    requests_.add(request);
    context_.record(*request, "request.admitted", "", admission_reason(*request));
    dispatcher_.request_seen();
    dispatcher_.start_stall_checks();
    search_.place(request);
}

void entry_core::make_room_for(int tier)
{
    const auto displaced = requests_.waiting_below(tier);
    context_.record(*displaced, "request.displaced", "",
                    "the table is full and a request of a higher tier came");
    fail(displaced, {result_code::table_full, ran_state::no, default_retry_after, ""});
}

void entry_core::handle(const response_bytes_consumed& event)
{
    if (const auto request = requests_.find(event.caller)) {
        responses_.on_bytes_consumed(*request, event.bytes);
    }
}

void entry_core::handle(const caller_disconnected& event)
{
    const auto request = requests_.find(event.caller);
    if (request == nullptr) {
        return;
    }
    request->caller_left = true;
    // A never-repeat run continues at its upstream daemon, which stores the outcome.
    const auto ran = request->running ? ran_state::unknown : ran_state::no;
    finish(request, result_code::cancelled, std::max(request->ran, ran));
}

// --- Upstreams

void entry_core::handle(const upstream_connected& event)
{
    pools_.connected(event.vm);
}

void entry_core::handle(const upstream_disconnected& event)
{
    if (pools_.disconnected(event.vm)) {
        context_.act(emit_record{{"upstream.disconnected", "", "", "", event.vm, ""}});
    }
    for (const auto attempt : attempts_.at(event.vm)) {
        const auto request = attempts_.find(attempt);
        if (request == nullptr) {
            continue;
        }
        if (request->is_hedged_by(attempt)) {
            dispatcher_.cancel_hedge(*request);
        } else if (request->runs_as(attempt)) {
            attempt_lost(request, result_code::upstream_lost, running_execution_state(*request));
        } else {
            search_.drop(request, attempt);
        }
    }
}

void entry_core::handle(const upstream_leaving& event)
{
    pools_.set_leaving(event.vm, event.is_leaving);
    if (!event.is_leaving) {
        return;
    }
    for (const auto attempt : attempts_.at(event.vm)) {
        const auto request = attempts_.find(attempt);
        const bool waits =
            request != nullptr && !request->runs_as(attempt) && !request->is_hedged_by(attempt);
        if (waits) {
            context_.send(event.vm, cancel_message{attempt});
            search_.drop(request, attempt);
        }
    }
}

void entry_core::handle(const upstream_message_received& event)
{
    std::visit([&](const auto& message) { on_message(event.vm, message); }, event.message);
}

void entry_core::on_message(const std::string& vm, const hello_message& message)
{
    pools_.on_hello(vm, message);
    context_.act(emit_record{{"upstream.connected", "", "", "", vm,
                              std::to_string(message.slots) + " slots, zone " + message.zone}});
}

void entry_core::on_message(const std::string& vm, const load_message& message)
{
    const auto change = pools_.on_load(vm, message);
    if (change == upstream_pools::speed_change::none) {
        return;
    }
    const bool slowed = change == upstream_pools::speed_change::slowed;
    context_.act(emit_record{{slowed ? "upstream.slowed" : "upstream.recovered", "", "", "", vm, ""}});
    if (slowed && context_.is_late_bound()) {
        dispatcher_.move_streams_from(vm);
    }
}

void entry_core::on_message(const std::string& vm, const granted_message& message)
{
    const auto request = attempts_.find(message.attempt);
    if (request != nullptr && request->runs_as(message.attempt)) {
        return; // A duplicate of the grant that was accepted.
    }
    const bool is_open = request != nullptr &&
                         std::ranges::find(request->reservations, message.attempt, &reservation::attempt) !=
                             request->reservations.end();
    if (!is_open) {
        context_.send(vm, cancel_message{message.attempt});
        return;
    }
    if (request->running) {
        dispatcher_.on_second_grant(request, message.attempt, vm);
        return;
    }
    search_.withdraw(*request, &message.attempt);
    dispatcher_.dispatch(request, {vm, message.attempt});
}

void entry_core::on_message(const std::string& vm, const refused_message& message)
{
    const auto request = attempts_.find(message.attempt);
    if (request == nullptr) {
        return;
    }
    context_.record(*request, "request.refused", vm, refusal_reason(message));
    request->last_refusal = message.code;
    request->last_retry_after = message.retry_after;
    if (message.code == result_code::overloaded && message.retry_after > duration::zero()) {
        request->refused_by.insert(vm);
        request->max_refusal_wait = std::max(request->max_refusal_wait, message.retry_after);
    }
    if (request->is_hedged_by(message.attempt)) {
        const auto ran_before = request->ran;
        dispatcher_.cancel_hedge(*request);
        request->ran = ran_before; // A refused attempt never started.
        return;
    }
    if (request->runs_as(message.attempt) && running_attempt_refused(request, message.attempt, vm)) {
        return;
    }
    search_.drop(request, message.attempt);
}

bool entry_core::running_attempt_refused(const entry_request_ptr& request, const attempt_id& attempt,
                                         const std::string& vm)
{
    // Refused after the dispatch: it never started, so it does not count as an attempt that ran.
    attempts_.close(vm, attempt);
    --request->dispatches;
    const bool was_direct = request->dispatched_directly && request->dispatches == 0;
    request->running.reset();
    if (request->hedge) {
        attempt_dispatcher::promote_hedge(*request); // The other attempt becomes the running one.
        return true;
    }
    if (was_direct && request->reservations.empty()) {
        context_.timers.cancel(std::exchange(request->widen_timer, 0));
        search_.place(request);
        return true;
    }
    return false;
}

void entry_core::on_message(const std::string& vm, const started_message& message)
{
    const auto request = attempts_.find(message.attempt);
    if (request == nullptr || !request->runs_as(message.attempt)) {
        return;
    }
    request->running->started = true;
    context_.record(*request, "request.started", vm, "");
}

void entry_core::on_message(const std::string& /*vm*/, const head_message& message)
{
    const auto request = attempts_.find(message.attempt);
    if (request != nullptr && request->is_hedged_by(message.attempt)) {
        request->hedge->status = message.status;
        request->hedge->content_type = message.content_type;
        return;
    }
    if (request == nullptr || !request->runs_as(message.attempt)) {
        return;
    }
    request->status = message.status;
    request->content_type = message.content_type;
}

void entry_core::on_message(const std::string& vm, const chunk_message& message)
{
    const auto request = attempts_.find(message.attempt);
    if (request == nullptr) {
        return;
    }
    if (request->is_hedged_by(message.attempt)) {
        dispatcher_.resolve_hedge(*request, message.attempt);
    }
    if (!request->runs_as(message.attempt)) {
        return;
    }
    request->progress_at = context_.now;
    if (message.offset + message.bytes.size() <= request->received) {
        return; // Delivered before.
    }
    if (message.offset != request->received) {
        // A gap or a repetition can only come from a fault of the peer; the response would not be the
        // upstream's.
        context_.send(vm, cancel_message{message.attempt});
        attempt_lost(request, result_code::answer_truncated, ran_state::yes);
        return;
    }
    request->received += message.bytes.size();
    request->tokens = message.tokens;
    if (request->first_token_at == never) {
        request->first_token_at = context_.now;
        dispatcher_.resolve_hedge(*request, message.attempt);
        context_.record(*request, "request.first_token", vm, target_reason(*request));
    }
    responses_.deliver(*request, message.bytes);
}

void entry_core::on_message(const std::string& /*vm*/, const finished_message& message)
{
    const auto request = attempts_.find(message.attempt);
    if (request != nullptr && request->is_hedged_by(message.attempt)) {
        dispatcher_.cancel_hedge(*request);
        return;
    }
    if (request == nullptr || !request->runs_as(message.attempt)) {
        return;
    }
    if (message.code == result_code::ok) {
        responses_.complete(*request);
        finish(request, result_code::ok, ran_state::yes);
        return;
    }
    attempt_lost(request, message.code, message.ran);
}

// --- The search for slots

void entry_core::on_direct_dispatch(const entry_request_ptr& request, const reservation& taken)
{
    dispatcher_.dispatch(request, taken);
}

void entry_core::on_no_slot(const entry_request_ptr& request, const failure_notice& notice)
{
    fail(request, notice);
}

bool entry_core::may_try_another_upstream(const entry_request& request)
{
    return dispatcher_.may_try_another_upstream(request);
}

// --- Ends

void entry_core::attempt_lost(const entry_request_ptr& request, result_code code, ran_state ran)
{
    const auto lost = *request->running;
    attempts_.close(lost.vm, lost.attempt);
    request->running.reset();
    context_.record(*request, "request.attempt_lost", lost.vm, describe(code).name);
    request->last_refusal = code;
    request->ran = std::max(request->ran, ran);
    if (request->hedge) {
        attempt_dispatcher::promote_hedge(*request); // The other attempt becomes the running one.
        return;
    }
    const bool within_budget = dispatcher_.spend_retry_budget(*request);
    if (!dispatcher_.may_retry(*request, ran) || !within_budget) {
        fail(request, {code, ran, duration::zero(), ""});
        return;
    }
    if (!request->head_sent) {
        request->held.clear();
        request->wasted_tokens += std::exchange(request->tokens, 0);
    }
    request->refused_by.clear();
    if (request->reservations.empty()) {
        search_.place(request);
    }
}

void entry_core::on_deadline(const entry_request_ptr& request)
{
    request->deadline_timer = 0;
    const auto ran = request->running ? running_execution_state(*request) : ran_state::no;
    fail(request, {result_code::deadline_expired, ran, duration::zero(), ""});
}

void entry_core::fail(const entry_request_ptr& request, const failure_notice& cause)
{
    auto notice = cause;
    dispatcher_.cancel_hedge(*request);
    notice.ran = std::max(request->ran, cause.ran);
    if (is_keyed_run(request->rules, request->input)) {
        notice.ran = execution_state_for_key(cause.code, notice.ran);
    }
    responses_.fail(*request, notice);
    finish(request, notice.code, notice.ran);
}

void entry_core::finish(const entry_request_ptr& request, result_code code, ran_state ran)
{
    search_.withdraw(*request, nullptr);
    if (request->running) {
        attempts_.close(request->running->vm, request->running->attempt);
        if (code != result_code::ok) {
            context_.send(request->running->vm, cancel_message{request->running->attempt});
        }
        request->running.reset();
    }
    dispatcher_.cancel_hedge(*request);
    cancel_timers(*request);
    context_.act(summary_of(*request, code, ran, context_.now));
    context_.record(*request, "request.ended", "",
                    std::string(describe(code).name) + ", ran " + std::string(to_string(ran)));
    requests_.erase(request->input.caller);
    if (draining_ && requests_.empty()) {
        context_.act(drain_completed{});
    }
}

void entry_core::cancel_timers(entry_request& request)
{
    for (auto* timer :
         {&request.widen_timer, &request.hedge_timer, &request.deadline_timer, &request.retry_timer}) {
        context_.timers.cancel(std::exchange(*timer, 0));
    }
}

// --- The daemon

void entry_core::handle(const configuration_applied& event)
{
    const bool newer = context_.rules == nullptr || event.value->version > context_.rules->version;
    if (!newer) {
        return;
    }
    context_.rules = event.value;
    admission_.index_configuration();
    context_.act(emit_record{
        {"configuration.applied", "", "", "", "", "version " + std::to_string(context_.rules->version)}});
}

void entry_core::handle(const drain_started& /*event*/)
{
    if (std::exchange(draining_, true)) {
        return;
    }
    context_.act(emit_record{{"drain.started", "", "", "", "", ""}});
    if (requests_.empty()) {
        context_.act(drain_completed{});
    }
}

void entry_core::handle(const soft_state_received& event)
{
    admission_.on_soft_state(event.item);
    search_.on_soft_state(event.item);
}

void entry_core::handle(const tick& /*event*/)
{
    // Due timers run before every event.
}

} // namespace clementinegap
