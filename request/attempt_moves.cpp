#include "request/attempt_moves.h"

#include "request/caller_answers.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr duration stall_check_interval = milliseconds(250);
constexpr duration least_stall = milliseconds(500);
constexpr std::int64_t stall_intervals = 20; ///< Missing tokens that make a stall.
/// Bytes that a caller has not taken; past them a stream that stands still waits for its caller.
constexpr std::uint64_t max_undrained = 65536;

} // namespace

ran_state ran_so_far(const entry_request& request)
{
    return request.status != 0 ? ran_state::yes : ran_state::unknown;
}

attempt_moves::attempt_moves(entry_context& context, attempt_table& attempts, const request_table& requests,
                             slot_search& search)
    : context_(context), attempts_(attempts), requests_(requests), search_(search),
      retries_(context.settings.retry_share, context.settings.budget_depth),
      hedges_(context.settings.hedge_share, context.settings.budget_depth)
{
}

void attempt_moves::request_seen()
{
    retries_.request_received();
    hedges_.request_received();
}

void attempt_moves::dispatch(const entry_request_ptr& request, const reservation& granted)
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
    hedge_later(request);
    context_.send(granted.vm, std::move(message));
    context_.record(*request, "request.dispatched", granted.vm,
                    request->sent_directly && request->dispatches == 1 ? "it reported a free slot"
                                                                       : "first upstream to grant a slot");
}

bool attempt_moves::can_resume(const entry_request& request) const
{
    return context_.is_late_bound() && !request.rules.is_service && is_stream(request.content_type) &&
           request.at_event_end;
}

bool attempt_moves::may_move(const entry_request& request) const
{
    const bool started_over_is_free = !request.head_sent && request.first_token_at == never;
    return request.running && request.reservations.empty() && !request.hedge && !request.caller_left &&
           request.rules.repeat != repeat_rule::never && request.moves < context_.settings.max_moves &&
           (started_over_is_free || can_resume(request));
}

bool attempt_moves::may_start_again(const entry_request& request, ran_state ran) const
{
    const bool may_repeat = request.rules.repeat != repeat_rule::never || ran == ran_state::no;
    return may_repeat && !request.caller_left && (!request.head_sent || can_resume(request)) &&
           request.dispatches < context_.settings.max_dispatches;
}

bool attempt_moves::take_retry(const entry_request& request)
{
    return !context_.is_late_bound() || retries_.try_take(static_cast<std::uint8_t>(request.rules.tier));
}

bool attempt_moves::may_ask_beside(const entry_request& request)
{
    const bool unheard = request.running && !request.running->started && request.dispatches == 1;
    if (!unheard || !may_move(request)) {
        return false;
    }
    const bool hedges = request.rules.repeat == repeat_rule::idempotent;
    return !hedges || hedges_.try_take(static_cast<std::uint8_t>(request.rules.tier));
}

void attempt_moves::move_from(const std::string& vm)
{
    for (const auto attempt : attempts_.at(vm)) {
        const auto request = attempts_.find(attempt);
        if (request != nullptr && request->runs_as(attempt) && may_move(*request)) {
            search_.place(request);
        }
    }
}

void attempt_moves::watch_for_stalls()
{
    if (stall_timer_ == 0 && context_.is_late_bound()) {
        look_for_stalls();
    }
}

void attempt_moves::look_for_stalls()
{
    stall_timer_ = 0;
    const auto stalled = requests_.where([this](const entry_request& request) {
        const auto patience =
            std::max<duration>(stall_intervals * request.rules.token_interval_target, least_stall);
        const auto allowed =
            request.first_token_at == never ? std::max(patience, request.rules.first_token_target) : patience;
        return request.running && context_.now - request.progress_at > allowed &&
               request.undrained < max_undrained && may_move(request);
    });
    for (const auto& request : stalled) {
        context_.record(*request, "request.stalled", request->running->vm, "");
        search_.place(request);
    }
    if (!requests_.empty()) {
        stall_timer_ = context_.timers.schedule(context_.now + stall_check_interval,
                                                [this](time_point) { look_for_stalls(); });
    }
}

void attempt_moves::hedge_later(const entry_request_ptr& request)
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

void attempt_moves::take_over(const entry_request_ptr& request, const attempt_id& granted,
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
    // The answer goes on from the last whole token that the caller was sent. What came since the slot was
    // asked for may have ended it, or have left no place to go on from.
    const bool may_go_on = request->head_sent ? can_resume(*request) : request->first_token_at == never;
    if (!may_go_on) {
        attempts_.close(vm, granted);
        context_.send(vm, cancel_message{granted});
        return;
    }
    request->ran = std::max(request->ran, ran_so_far(*request));
    attempts_.close(former.vm, former.attempt);
    context_.send(former.vm, cancel_message{former.attempt});
    context_.record(*request, "request.moved", vm, "from " + former.vm);
    request->running.reset();
    ++request->moves;
    dispatch(request, {vm, granted});
    --request->dispatches;
}

void attempt_moves::settle_hedge(entry_request& request, attempt_id winner)
{
    if (!request.hedge) {
        return;
    }
    if (request.hedge->attempt == winner) {
        const auto slower = *request.running;
        adopt_hedge(request);
        request.hedge = slower;
    }
    drop_hedge(request);
}

void attempt_moves::adopt_hedge(entry_request& request)
{
    request.running = std::exchange(request.hedge, std::nullopt);
    request.received = 0;
    request.status = request.running->status;
    request.content_type = request.running->content_type;
}

void attempt_moves::drop_hedge(entry_request& request)
{
    if (!request.hedge) {
        return;
    }
    // It was dispatched, so it may have run, whatever becomes of the other attempt.
    request.ran = std::max(request.ran, ran_state::unknown);
    attempts_.close(request.hedge->vm, request.hedge->attempt);
    context_.send(request.hedge->vm, cancel_message{request.hedge->attempt});
    request.hedge.reset();
}

} // namespace clementinegap
