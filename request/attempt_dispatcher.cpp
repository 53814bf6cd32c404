#include "request/attempt_dispatcher.h"

#include "request/caller_responses.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr duration stall_check_interval = milliseconds(250);
constexpr duration min_stall = milliseconds(500);
constexpr std::int64_t stall_intervals = 20; ///< Missed token intervals that count as a stall.
/// Unconsumed bytes above which a stalled stream is attributed to a slow caller.
constexpr std::uint64_t max_unconsumed = 65536;

} // namespace

ran_state running_execution_state(const entry_request& request)
{
    return request.status != 0 ? ran_state::yes : ran_state::unknown;
}

attempt_dispatcher::attempt_dispatcher(entry_context& context, attempt_table& attempts,
                                       const request_table& requests, slot_search& search)
    : context_(context), attempts_(attempts), requests_(requests), search_(search),
      retries_(context.settings.retry_share, context.settings.budget_depth),
      hedges_(context.settings.hedge_share, context.settings.budget_depth)
{
}

void attempt_dispatcher::request_seen()
{
    retries_.request_received();
    hedges_.request_received();
}

void attempt_dispatcher::dispatch(const entry_request_ptr& request, const reservation& granted)
{
    request->running = running_attempt{granted.vm, granted.attempt};
    ++request->dispatches;
    request->received = 0;
    request->progress_at = context_.now;
    search_.prompt_sent(*request, granted.vm);
    request->status = 0;
    request->first_dispatch_at = std::min(request->first_dispatch_at, context_.now);
    dispatch_message message;
    message.attempt = granted.attempt;
    message.method = request->input.method;
    message.path = request->input.path;
    message.content_type = request->input.content_type;
    message.body = request->input.body;
    message.resume_from_token = request->head_sent ? request->tokens : 0;
    schedule_hedge(request);
    context_.send(granted.vm, std::move(message));
    context_.record(*request, "request.dispatched", granted.vm,
                    request->dispatched_directly && request->dispatches == 1
                        ? "it reported a free slot"
                        : "first upstream to grant a slot");
}

bool attempt_dispatcher::can_resume(const entry_request& request) const
{
    return context_.is_late_bound() && !request.rules.is_service && is_stream(request.content_type) &&
           request.at_event_boundary;
}

bool attempt_dispatcher::may_move(const entry_request& request) const
{
    const bool started_over_is_free = !request.head_sent && request.first_token_at == never;
    return request.running && request.reservations.empty() && !request.hedge && !request.caller_left &&
           request.rules.repeat != repeat_rule::never && request.moves < context_.settings.max_moves &&
           (started_over_is_free || can_resume(request));
}

bool attempt_dispatcher::may_retry(const entry_request& request, ran_state ran) const
{
    const bool may_repeat = request.rules.repeat != repeat_rule::never || ran == ran_state::no;
    return may_repeat && !request.caller_left && (!request.head_sent || can_resume(request)) &&
           request.dispatches < context_.settings.max_dispatches;
}

bool attempt_dispatcher::spend_retry_budget(const entry_request& request)
{
    return !context_.is_late_bound() || retries_.try_take(static_cast<std::uint8_t>(request.rules.tier));
}

bool attempt_dispatcher::may_try_another_upstream(const entry_request& request)
{
    const bool unheard = request.running && !request.running->started && request.dispatches == 1;
    if (!unheard || !may_move(request)) {
        return false;
    }
    const bool hedges = request.rules.repeat == repeat_rule::idempotent;
    return !hedges || hedges_.try_take(static_cast<std::uint8_t>(request.rules.tier));
}

void attempt_dispatcher::move_streams_from(const std::string& vm)
{
    for (const auto attempt : attempts_.at(vm)) {
        const auto request = attempts_.find(attempt);
        if (request != nullptr && request->runs_as(attempt) && may_move(*request)) {
            search_.place(request);
        }
    }
}

void attempt_dispatcher::start_stall_checks()
{
    if (stall_timer_ == 0 && context_.is_late_bound()) {
        check_for_stalls();
    }
}

void attempt_dispatcher::check_for_stalls()
{
    stall_timer_ = 0;
    const auto stalled = requests_.where([this](const entry_request& request) {
        const auto stall_timeout =
            std::max<duration>(stall_intervals * request.rules.token_interval_target, min_stall);
        const auto allowed = request.first_token_at == never
                                 ? std::max(stall_timeout, request.rules.first_token_target)
                                 : stall_timeout;
        return request.running && context_.now - request.progress_at > allowed &&
               request.unconsumed < max_unconsumed && may_move(request);
    });
    for (const auto& request : stalled) {
        context_.record(*request, "request.stalled", request->running->vm, "");
        search_.place(request);
    }
    if (!requests_.empty()) {
        stall_timer_ = context_.timers.schedule(context_.now + stall_check_interval,
                                                [this](time_point) { check_for_stalls(); });
    }
}

void attempt_dispatcher::schedule_hedge(const entry_request_ptr& request)
{
    const bool may_hedge = context_.is_late_bound() && request->rules.repeat == repeat_rule::idempotent &&
                           request->first_token_at == never && request->hedge_timer == 0;
    if (!may_hedge) {
        return;
    }
    const auto at = std::max(context_.now, request->arrived + request->rules.first_token_target / 2);
    request->hedge_timer = context_.timers.schedule(at, [this, request](time_point) {
        request->hedge_timer = 0;
        const bool at_risk = request->running && request->first_token_at == never && !request->hedge &&
                             request->reservations.empty();
        if (at_risk && hedges_.try_take(static_cast<std::uint8_t>(request->rules.tier))) {
            search_.place(request);
        }
    });
}

void attempt_dispatcher::on_second_grant(const entry_request_ptr& request, const attempt_id& granted,
                                         const std::string& vm)
{
    const bool hedges = request->rules.repeat == repeat_rule::idempotent && request->first_token_at == never;
    search_.withdraw(*request, &granted);
    const auto former = *request->running;
    if (hedges) {
        const auto status = request->status;
        request->running.reset();
        dispatch(request, {vm, granted});
        --request->dispatches;
        request->status = status;
        request->hedge = std::exchange(request->running, former);
        context_.record(*request, "request.hedged", vm, "");
        return;
    }
    // The response continues after the last whole token sent to the caller. Data received since the
    // reservation may have ended it, or may not end at a position from which it can resume.
    const bool may_go_on = request->head_sent ? can_resume(*request) : request->first_token_at == never;
    if (!may_go_on) {
        attempts_.close(vm, granted);
        context_.send(vm, cancel_message{granted});
        return;
    }
    request->ran = std::max(request->ran, running_execution_state(*request));
    attempts_.close(former.vm, former.attempt);
    context_.send(former.vm, cancel_message{former.attempt});
    context_.record(*request, "request.moved", vm, "from " + former.vm);
    request->running.reset();
    ++request->moves;
    dispatch(request, {vm, granted});
    --request->dispatches;
}

void attempt_dispatcher::resolve_hedge(entry_request& request, attempt_id winner)
{
    if (!request.hedge) {
        return;
    }
    if (request.hedge->attempt == winner) {
        const auto slower = *request.running;
        promote_hedge(request);
        request.hedge = slower;
    }
    cancel_hedge(request);
}

void attempt_dispatcher::promote_hedge(entry_request& request)
{
    request.running = std::exchange(request.hedge, std::nullopt);
    request.received = 0;
    request.status = request.running->status;
    request.content_type = request.running->content_type;
}

void attempt_dispatcher::cancel_hedge(entry_request& request)
{
    if (!request.hedge) {
        return;
    }
    // It was dispatched, so it may have run whatever the outcome of the other attempt.
    request.ran = std::max(request.ran, ran_state::unknown);
    attempts_.close(request.hedge->vm, request.hedge->attempt);
    context_.send(request.hedge->vm, cancel_message{request.hedge->attempt});
    request.hedge.reset();
}

} // namespace clementinegap
