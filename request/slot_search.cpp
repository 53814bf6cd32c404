#include "request/slot_search.h"

#include "request/decision_reason.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr duration min_retry_after = milliseconds(100);
constexpr duration quarantine_retry_after = std::chrono::minutes(10);
constexpr std::int64_t widenings_per_target =
    12; ///< How often further upstreams are tried before the target.
constexpr duration min_widening = milliseconds(5);
constexpr duration max_widening = milliseconds(250);
constexpr std::int64_t urgent_intervals = 4; ///< A resumed stream is late after this many token intervals.

/// How long to wait for the upstreams already tried before trying further ones.
duration widening_step(const entry_request& request)
{
    return std::clamp<duration>(request.rules.first_token_target / widenings_per_target, min_widening,
                                max_widening);
}

bool was_asked(const entry_request& request, const std::string& vm)
{
    const bool is_open =
        std::ranges::find(request.reservations, vm, &reservation::vm) != request.reservations.end();
    return is_open || request.refused_by.contains(vm) || (request.running && request.running->vm == vm);
}

} // namespace

slot_search::slot_search(entry_context& context, const upstream_pools& pools, attempt_table& attempts,
                         slot_search_owner& owner)
    : context_(context), pools_(pools), attempts_(attempts), owner_(owner),
      prefixes_(context.settings.max_prefixes)
{
}

std::vector<const upstream_view*> slot_search::candidates(const entry_request& request)
{
    // A class names the model that serves it; requests may ask for another model by name.
    const auto& model = request.input.model.empty() ? request.rules.model : request.input.model;
    const auto pool = pools_.serving(model);
    const auto& settings = context_.settings;
    std::vector<const upstream_view*> result;
    if (pool.empty() || request.reservations.size() >= settings.max_reservations) {
        return result;
    }
    // Of a large pool only a part is considered, from a random position, so that the cost stays bounded.
    const auto begin = pool.size() <= settings.max_considered ? 0 : context_.random() % pool.size();
    for (std::size_t i = 0; i < pool.size() && result.size() < settings.max_considered; ++i) {
        const auto& view = *pool[(begin + i) % pool.size()];
        if (pools_.takes_work(view) && !was_asked(request, view.vm)) {
            result.push_back(&view);
        }
    }
    return result;
}

std::vector<std::size_t> slot_search::choose(const entry_request& request,
                                             std::span<const upstream_view* const> possible)
{
    const auto* favourite =
        context_.is_late_bound() ? prefixes_.prefix_upstream(request.input.prefix_hashes) : nullptr;
    const placement_request placement{
        context_.settings.zone, static_cast<std::uint8_t>(request.rules.tier), request.input.prefix_hashes,
        favourite == nullptr ? std::string_view() : std::string_view(*favourite)};
    return std::visit([&](const auto& policy) { return policy.choose(possible, placement, context_.random); },
                      context_.settings.placement);
}

void slot_search::place(const entry_request_ptr& request)
{
    if (poison_.is_quarantined(request->fingerprint, context_.now)) {
        if (!request->running) { // A running attempt continues, but no second one is started.
            owner_.on_no_slot(request, {result_code::quarantined, ran_state::no, quarantine_retry_after, ""});
        }
        return;
    }
    const auto possible = candidates(*request);
    if (possible.empty()) {
        fail_or_schedule_placement(request);
        return;
    }
    const auto chosen = choose(*request, possible);
    if (!chosen.empty() && may_dispatch_directly(*request, *possible[chosen.front()])) {
        dispatch_directly(request, *possible[chosen.front()]);
        return;
    }
    for (const auto index : chosen) {
        reserve(request, *possible[index]);
    }
    schedule_widening(request);
}

bool slot_search::may_dispatch_directly(const entry_request& request, const upstream_view& view) const
{
    return context_.is_late_bound() && !request.dispatched_directly && !request.running &&
           request.dispatches == 0 && request.reservations.empty() &&
           request.rules.repeat != repeat_rule::never && view.free_slots > 0 && !view.slowed;
}

void slot_search::dispatch_directly(const entry_request_ptr& request, const upstream_view& view)
{
    request->dispatched_directly = true;
    reserve(request, view);
    const auto direct = request->reservations.back();
    request->reservations.clear();
    owner_.on_direct_dispatch(request, direct);
    // A paused daemon does not respond; other upstreams are then tried instead.
    request->widen_timer =
        context_.timers.schedule(context_.now + widening_step(*request), [this, request](time_point) {
            request->widen_timer = 0;
            if (owner_.may_try_another_upstream(*request)) {
                place(request);
            }
        });
}

void slot_search::schedule_widening(const entry_request_ptr& request)
{
    if (!context_.is_late_bound() || request->widen_timer != 0) {
        return;
    }
    request->widen_timer =
        context_.timers.schedule(context_.now + widening_step(*request), [this, request](time_point) {
            request->widen_timer = 0;
            if (!request->reservations.empty()) {
                place(request);
            }
        });
}

void slot_search::fail_or_schedule_placement(const entry_request_ptr& request)
{
    if (!request->reservations.empty() || request->running) {
        return;
    }
    if (request->refused_by.empty()) {
        schedule_placement(request);
        return;
    }
    // Every upstream that it may use has refused it, so waiting would only delay the response.
    owner_.on_no_slot(request, {request->last_refusal, ran_state::no,
                                std::max(request->max_refusal_wait, min_retry_after), ""});
}

void slot_search::reserve(const entry_request_ptr& request, const upstream_view& view)
{
    const auto attempt = attempts_.open(request, view.vm);
    request->reservations.push_back({view.vm, attempt});
    reserve_message message;
    message.attempt = attempt;
    message.request_id = request->id;
    message.workspace = request->workspace;
    message.workspace_weight = request->workspace_weight;
    message.class_name = request->rules.name;
    message.model = request->input.model;
    message.tier = static_cast<std::uint8_t>(request->rules.tier);
    message.never_repeat = request->rules.repeat == repeat_rule::never;
    message.key = request->input.idempotency_key;
    message.fingerprint = request->fingerprint;
    message.prompt_tokens = request->input.prompt_tokens;
    message.quantum_tokens = request->rules.quantum_tokens;
    message.time_left = request->deadline_at - context_.now;
    // The caller of a resumed stream is waiting between two tokens.
    message.target_left = request->head_sent ? urgent_intervals * request->rules.token_interval_target
                                             : request->target_at - context_.now;
    message.starvation_bound = request->rules.starvation_bound;
    message.prefix_hashes = request->input.prefix_hashes;
    context_.send(view.vm, std::move(message));
    context_.record(*request, "request.reserved", view.vm, reservation_reason(view, context_.settings.zone));
}

void slot_search::schedule_placement(const entry_request_ptr& request)
{
    const auto& settings = context_.settings;
    const bool timed_out = context_.now >= request->arrived + settings.placement_timeout;
    if (timed_out) {
        owner_.on_no_slot(request, {request->last_refusal, ran_state::no,
                                    std::max(request->last_retry_after, default_retry_after), ""});
        return;
    }
    request->retry_timer =
        context_.timers.schedule(context_.now + settings.placement_interval, [this, request](time_point) {
            request->retry_timer = 0;
            place(request);
        });
}

void slot_search::withdraw(entry_request& request, const attempt_id* except)
{
    for (const auto& open : request.reservations) {
        if (except != nullptr && open.attempt == *except) {
            continue;
        }
        attempts_.close(open.vm, open.attempt);
        context_.send(open.vm, cancel_message{open.attempt});
    }
    request.reservations.clear();
}

void slot_search::drop(const entry_request_ptr& request, attempt_id attempt)
{
    for (const auto& open : request->reservations) {
        if (open.attempt == attempt) {
            attempts_.close(open.vm, attempt);
        }
    }
    std::erase_if(request->reservations, [&](const reservation& open) { return open.attempt == attempt; });
    if (!request->reservations.empty() || request->running) {
        return;
    }
    if (request->refused_by.empty()) {
        schedule_placement(request);
    } else {
        place(request);
    }
}

void slot_search::prompt_sent(const entry_request& request, const std::string& vm)
{
    prefixes_.record(request.input.prefix_hashes, vm);
}

} // namespace clementinegap
