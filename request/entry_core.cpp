#include "request/entry_core.h"

#include "core/digest.h"
#include "request/decision_reason.h"
#include "request/model_list.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr duration default_retry_after = seconds(1);
constexpr std::int64_t widenings_per_target =
    12; ///< Further upstreams are asked this often until the target.
constexpr duration least_widening = milliseconds(5);
constexpr duration longest_widening = milliseconds(250);
constexpr std::int64_t urgent_intervals =
    4; ///< A stream that goes on elsewhere is late after so many tokens.
constexpr duration stall_check_interval = milliseconds(250);
constexpr duration least_stall = milliseconds(500);
constexpr std::int64_t stall_intervals = 20; ///< Missing tokens that make a stall.
constexpr duration least_retry_after = milliseconds(100);
constexpr std::uint64_t max_undrained = 65536;
constexpr std::string_view stream_content_type = "text/event-stream";

bool is_stream(std::string_view content_type)
{
    return content_type.starts_with(stream_content_type);
}

std::string hexadecimal(std::uint64_t value)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = text.size(); i-- > 0; value >>= 4U) {
        text[i] = digits[value & 15U];
    }
    return text;
}

} // namespace

entry_core::entry_core(entry_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed), prefixes_(settings_.max_prefixes),
      limits_(settings_.vm), retries_(settings_.retry_share, settings_.budget_depth),
      hedges_(settings_.hedge_share, settings_.budget_depth)
{
}

std::span<const entry_action> entry_core::on_event(const entry_event& event, time_point now)
{
    actions_.clear();
    now_ = std::max(now_, now);
    timers_.run_due(now_);
    std::visit([this](const auto& value) { handle(value); }, event);
    return actions_;
}

// --- Admission
// ------------------------------------------------------------------------------------------------

void entry_core::handle(const caller_request& event)
{
    if (const auto notice = refuse_at_admission(event)) {
        refuse_caller(event, *notice);
        return;
    }
    if (event.path == models_path) {
        actions_.emplace_back(model_list_answer(event.caller, upstreams_, new_request_id()));
        return;
    }
    const auto& owner = *workspace_of(event.key_sha256);
    const auto& rules = *class_of(event);
    if (const auto notice = refuse_by_limit(owner, rules)) {
        refuse_caller(event, *notice);
        return;
    }
    const auto request = admit(event, rules, owner);
    record(*request, "request.admitted", "", admission_reason(*request));
    retries_.request_seen();
    hedges_.request_seen();
    if (stall_timer_ == 0 && is_late_bound()) {
        look_for_stalls();
    }
    place(request);
}

void entry_core::refuse_caller(const caller_request& event, const failure_notice& notice)
{
    const auto id = new_request_id();
    actions_.emplace_back(failure_answer(event.caller, notice, id));
    actions_.emplace_back(emit_record{{"request.refused_at_admission", id, event.class_name, "", "",
                                       std::string(describe(notice.code).name)}});
}

const request_class* entry_core::class_of(const caller_request& input) const
{
    if (input.class_name.empty()) {
        return configuration_->classify(input.path, input.model);
    }
    const auto found = classes_by_name_.find(input.class_name);
    return found == classes_by_name_.end() ? nullptr : found->second;
}

void entry_core::index_configuration()
{
    workspaces_by_key_.clear();
    classes_by_name_.clear();
    for (const auto& item : configuration_->workspaces) {
        workspaces_by_key_.emplace(item.key_sha256, &item);
    }
    for (const auto& item : configuration_->classes) {
        classes_by_name_.emplace(item.name, &item);
    }
}

const workspace* entry_core::workspace_of(const std::string& key_sha256) const
{
    // The table is keyed by hashes, so what its timing could tell of a hash does not help to find a key.
    const auto found = workspaces_by_key_.find(key_sha256);
    const bool matches =
        found != workspaces_by_key_.end() && equal_constant_time(found->second->key_sha256, key_sha256);
    return matches ? found->second : nullptr;
}

std::optional<failure_notice> entry_core::refuse_at_admission(const caller_request& input) const
{
    if (configuration_ == nullptr) {
        return failure_notice{result_code::not_ready, ran_state::no, default_retry_after, ""};
    }
    if (configuration_->shutdown.ends_at && now_ >= *configuration_->shutdown.ends_at) {
        return failure_notice{result_code::shut_down, ran_state::no, duration::zero(), ""};
    }
    if (draining_) {
        return failure_notice{result_code::leaving, ran_state::no, default_retry_after, ""};
    }
    if (workspace_of(input.key_sha256) == nullptr) {
        return failure_notice{result_code::unauthorized, ran_state::no, duration::zero(), ""};
    }
    if (!input.bad_header.empty()) {
        return failure_notice{result_code::bad_header, ran_state::no, duration::zero(), input.bad_header};
    }
    if (input.path == models_path) {
        return std::nullopt;
    }
    if (input.malformed) {
        return failure_notice{result_code::malformed_body, ran_state::no, duration::zero(), ""};
    }
    const auto* rules = class_of(input);
    if (rules == nullptr) {
        return failure_notice{result_code::unknown_class, ran_state::no, duration::zero(), ""};
    }
    if (!input.model.empty() && !is_known_model(input.model, *configuration_, upstreams_)) {
        return failure_notice{result_code::unknown_model, ran_state::no, duration::zero(), ""};
    }
    if (rules->key_required && input.idempotency_key.empty()) {
        return failure_notice{result_code::key_required, ran_state::no, duration::zero(), ""};
    }
    if (requests_.size() >= settings_.max_requests) {
        return failure_notice{result_code::table_full, ran_state::no, default_retry_after, ""};
    }
    return std::nullopt;
}

std::optional<failure_notice> entry_core::refuse_by_limit(const workspace& owner, const request_class& rules)
{
    for (const auto& limit : owner.limits) {
        if (!limit.class_name.empty() && limit.class_name != rules.name) {
            continue;
        }
        if (report_timer_ == 0) {
            report_timer_ = timers_.schedule(now_ + rate_limiter::report_interval(),
                                             [this](time_point) { report_demand(); });
        }
        const auto wait = limits_.refuse(owner.name + '\n' + limit.class_name,
                                         {limit.requests_per_second, limit.burst}, now_);
        if (wait) {
            return failure_notice{result_code::rate_limited, ran_state::no, *wait, ""};
        }
    }
    return std::nullopt;
}

void entry_core::report_demand()
{
    report_timer_ = 0;
    auto items = limits_.reports_due(now_);
    for (auto& item : items) {
        actions_.emplace_back(publish_item{std::move(item)});
    }
    if (!items.empty()) {
        report_timer_ =
            timers_.schedule(now_ + rate_limiter::report_interval(), [this](time_point) { report_demand(); });
    }
}

entry_core::request_ptr entry_core::admit(const caller_request& input, const request_class& rules,
                                          const workspace& owner)
{
    auto request = std::make_shared<entry_request>();
    request->input = input;
    request->id = new_request_id();
    request->rules = rules;
    request->workspace = owner.name;
    request->workspace_weight = owner.weight;
    request->fingerprint = sha256_hex({owner.name, input.path, input.body});
    request->arrived = now_;
    request->deadline_at = now_ + std::min(rules.deadline, input.deadline.value_or(rules.deadline));
    request->target_at = now_ + rules.first_token_target;
    request->deadline_timer =
        timers_.schedule(request->deadline_at, [this, request](time_point) { on_deadline(request); });
    requests_.emplace(input.caller, request);
    return request;
}

// --- Placement
// ------------------------------------------------------------------------------------------------

bool entry_core::was_asked(const entry_request& request, const std::string& vm) const
{
    const bool is_open =
        std::ranges::find(request.reservations, vm, &reservation::vm) != request.reservations.end();
    return is_open || request.refused_by.contains(vm) || (request.running && request.running->vm == vm);
}

std::vector<const upstream_view*> entry_core::candidates(const entry_request& request)
{
    // A class names the model that serves it; requests may ask for another model by name.
    const auto& model = request.input.model.empty() ? request.rules.model : request.input.model;
    std::vector<const upstream_view*> result;
    const auto found = pools_.find(model);
    if (found == pools_.end() || found->second.empty() ||
        request.reservations.size() >= settings_.max_reservations) {
        return result;
    }
    // A large pool is looked at in parts, from a random place on, so that the cost does not grow with it.
    const auto& pool = found->second;
    const auto begin = pool.size() <= settings_.max_considered ? 0 : random_() % pool.size();
    for (std::size_t i = 0; i < pool.size() && result.size() < settings_.max_considered; ++i) {
        const auto& view = *pool[(begin + i) % pool.size()];
        if (view.connected && !view.leaving && !leaving_upstreams_.contains(view.vm) &&
            !was_asked(request, view.vm)) {
            result.push_back(&view);
        }
    }
    return result;
}

void entry_core::join_pools(const upstream_view& view, const std::vector<std::string>& former_models)
{
    for (const auto& model : former_models) {
        std::erase(pools_[model], &view);
    }
    for (const auto& model : view.models) {
        pools_[model].push_back(&view);
    }
}

void entry_core::place(const request_ptr& request)
{
    const auto possible = candidates(*request);
    if (possible.empty()) {
        give_up_or_wait(request);
        return;
    }
    const auto* favourite = is_late_bound() ? prefixes_.favourite(request->input.prefix_hashes) : nullptr;
    const placement_request about{settings_.zone, static_cast<std::uint8_t>(request->rules.tier),
                                  request->input.prefix_hashes,
                                  favourite == nullptr ? std::string_view() : std::string_view(*favourite)};
    const auto chosen = std::visit(
        [&](const auto& policy) {
            return policy.choose(std::span<const upstream_view* const>(possible), about, random_);
        },
        settings_.placement);
    for (const auto index : chosen) {
        reserve(request, *possible[index]);
    }
    widen_later(request);
}

void entry_core::widen_later(const request_ptr& request)
{
    if (!is_late_bound() || request->widen_timer != 0) {
        return;
    }
    const auto step = std::clamp<duration>(request->rules.first_token_target / widenings_per_target,
                                           least_widening, longest_widening);
    request->widen_timer = timers_.schedule(now_ + step, [this, request](time_point) {
        request->widen_timer = 0;
        if (!request->reservations.empty()) {
            place(request);
        }
    });
}

void entry_core::give_up_or_wait(const request_ptr& request)
{
    if (!request->reservations.empty() || request->running) {
        return;
    }
    if (request->refused_by.empty()) {
        place_later(request);
        return;
    }
    // Every upstream that it may use has refused it, so waiting would only hold the answer back.
    fail(request, {request->last_refusal, request->dispatches == 0 ? ran_state::no : ran_state::yes,
                   std::max(request->longest_refusal, least_retry_after), ""});
}

void entry_core::reserve(const request_ptr& request, const upstream_view& view)
{
    const attempt_id attempt{settings_.incarnation, ++last_attempt_};
    request->reservations.push_back({view.vm, attempt});
    attempts_.emplace(attempt, request);
    attempts_by_vm_[view.vm].insert(attempt);
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
    message.time_left = request->deadline_at - now_;
    // A stream that goes on elsewhere has its caller waiting between two tokens.
    message.target_left = request->head_sent ? urgent_intervals * request->rules.token_interval_target
                                             : request->target_at - now_;
    message.starvation_bound = request->rules.starvation_bound;
    message.prefix_hashes = request->input.prefix_hashes;
    actions_.emplace_back(send_to_upstream{view.vm, std::move(message)});
    record(*request, "request.reserved", view.vm, reservation_reason(view, settings_.zone));
}

void entry_core::place_later(const request_ptr& request)
{
    const bool out_of_patience = now_ >= request->arrived + settings_.placement_patience;
    if (out_of_patience) {
        fail(request, {request->last_refusal, request->dispatches == 0 ? ran_state::no : ran_state::yes,
                       std::max(request->last_retry_after, default_retry_after), ""});
        return;
    }
    request->retry_timer = timers_.schedule(now_ + settings_.placement_interval, [this, request](time_point) {
        request->retry_timer = 0;
        place(request);
    });
}

void entry_core::withdraw_reservations(entry_request& request, const attempt_id* except)
{
    for (const auto& open : request.reservations) {
        if (except != nullptr && open.attempt == *except) {
            continue;
        }
        forget_attempt(open.vm, open.attempt);
        actions_.emplace_back(send_to_upstream{open.vm, cancel_message{open.attempt}});
    }
    request.reservations.clear();
}

void entry_core::drop_reservation(const request_ptr& request, attempt_id attempt)
{
    for (const auto& open : request->reservations) {
        if (open.attempt == attempt) {
            forget_attempt(open.vm, attempt);
        }
    }
    std::erase_if(request->reservations, [&](const reservation& open) { return open.attempt == attempt; });
    if (!request->reservations.empty() || request->running) {
        return;
    }
    if (request->refused_by.empty()) {
        place_later(request);
    } else {
        place(request);
    }
}

void entry_core::dispatch(const request_ptr& request, const reservation& granted)
{
    request->running = running_attempt{granted.vm, granted.attempt};
    ++request->dispatches;
    request->received = 0;
    request->progress_at = now_;
    prefixes_.sent(request->input.prefix_hashes, granted.vm);
    request->first_dispatch_at = std::min(request->first_dispatch_at, now_);
    dispatch_message message;
    message.attempt = granted.attempt;
    message.method = request->input.method;
    message.path = request->input.path;
    message.content_type = request->input.content_type;
    message.body = request->input.body;
    message.resume_from_token = request->head_sent ? request->tokens : 0;
    hedge_later(request);
    actions_.emplace_back(send_to_upstream{granted.vm, std::move(message)});
    record(*request, "request.dispatched", granted.vm, "first upstream to grant a slot");
}

// --- Moves and hedges
// -----------------------------------------------------------------------------------------

bool entry_core::may_move(const entry_request& request) const
{
    const bool started_over_is_free = !request.head_sent && request.first_token_at == never;
    return request.running && request.reservations.empty() && !request.hedge && !request.caller_left &&
           request.rules.repeat != repeat_rule::never && request.moves < settings_.max_moves &&
           (started_over_is_free || can_resume(request));
}

void entry_core::move_from(const std::string& vm)
{
    const auto attempts = attempts_by_vm_[vm];
    for (const auto attempt : attempts) {
        const auto request = find_attempt(attempt);
        if (request != nullptr && is_running(*request, attempt) && may_move(*request)) {
            place(request);
        }
    }
}

void entry_core::look_for_stalls()
{
    stall_timer_ = 0;
    std::vector<request_ptr> stalled;
    for (const auto& [caller, request] : requests_) {
        const auto patience =
            std::max<duration>(stall_intervals * request->rules.token_interval_target, least_stall);
        const auto allowed = request->first_token_at == never
                                 ? std::max(patience, request->rules.first_token_target)
                                 : patience;
        if (request->running && now_ - request->progress_at > allowed && request->undrained < max_undrained &&
            may_move(*request)) {
            stalled.push_back(request);
        }
    }
    std::ranges::sort(stalled, {}, &entry_request::id);
    for (const auto& request : stalled) {
        record(*request, "request.stalled", request->running->vm, "");
        place(request);
    }
    if (!requests_.empty()) {
        stall_timer_ =
            timers_.schedule(now_ + stall_check_interval, [this](time_point) { look_for_stalls(); });
    }
}

void entry_core::hedge_later(const request_ptr& request)
{
    const bool may_hedge = is_late_bound() && request->rules.repeat == repeat_rule::idempotent &&
                           request->first_token_at == never && request->hedge_timer == 0;
    if (!may_hedge) {
        return;
    }
    const auto at = std::max(now_, request->arrived + request->rules.first_token_target / 2);
    request->hedge_timer = timers_.schedule(at, [this, request](time_point) {
        request->hedge_timer = 0;
        const bool at_risk = request->running && request->first_token_at == never && !request->hedge &&
                             request->reservations.empty();
        if (at_risk && hedges_.take(static_cast<std::uint8_t>(request->rules.tier))) {
            place(request);
        }
    });
}

void entry_core::take_over(const request_ptr& request, const attempt_id& granted, const std::string& vm)
{
    const bool hedges = request->rules.repeat == repeat_rule::idempotent && request->first_token_at == never;
    withdraw_reservations(*request, &granted);
    const auto former = *request->running;
    if (hedges) {
        request->running.reset();
        dispatch(request, {vm, granted});
        --request->dispatches;
        request->hedge = std::exchange(request->running, former);
        record(*request, "request.hedged", vm, "");
        return;
    }
    // The answer goes on from the last whole token that the caller was sent.
    if (!request->head_sent && request->first_token_at != never) {
        forget_attempt(vm, granted);
        actions_.emplace_back(send_to_upstream{vm, cancel_message{granted}});
        return;
    }
    forget_attempt(former.vm, former.attempt);
    actions_.emplace_back(send_to_upstream{former.vm, cancel_message{former.attempt}});
    record(*request, "request.moved", vm, "from " + former.vm);
    request->running.reset();
    ++request->moves;
    dispatch(request, {vm, granted});
    --request->dispatches;
}

bool entry_core::is_hedge(const entry_request& request, attempt_id attempt) const
{
    return request.hedge && request.hedge->attempt == attempt;
}

void entry_core::settle_hedge(entry_request& request, attempt_id winner)
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

void entry_core::adopt_hedge(entry_request& request)
{
    request.running = std::exchange(request.hedge, std::nullopt);
    request.received = 0;
    request.status = request.running->status;
    request.content_type = request.running->content_type;
}

void entry_core::drop_hedge(entry_request& request)
{
    if (!request.hedge) {
        return;
    }
    forget_attempt(request.hedge->vm, request.hedge->attempt);
    actions_.emplace_back(send_to_upstream{request.hedge->vm, cancel_message{request.hedge->attempt}});
    request.hedge.reset();
}

void entry_core::forget_attempt(const std::string& vm, attempt_id attempt)
{
    attempts_.erase(attempt);
    if (const auto found = attempts_by_vm_.find(vm); found != attempts_by_vm_.end()) {
        found->second.erase(attempt);
    }
}

// --- Messages of upstream daemons
// -----------------------------------------------------------------------------

void entry_core::handle(const upstream_connected& event)
{
    auto& view = upstreams_[event.vm];
    view.vm = event.vm;
}

void entry_core::handle(const upstream_disconnected& event)
{
    const auto found = upstreams_.find(event.vm);
    if (found == upstreams_.end()) {
        return;
    }
    if (std::exchange(found->second.connected, false)) {
        actions_.emplace_back(emit_record{{"upstream.disconnected", "", "", "", event.vm, ""}});
    }
    const auto affected = std::exchange(attempts_by_vm_[event.vm], {});
    for (const auto attempt : affected) {
        const auto request = find_attempt(attempt);
        if (request == nullptr) {
            continue;
        }
        if (is_hedge(*request, attempt)) {
            drop_hedge(*request);
        } else if (is_running(*request, attempt)) {
            attempt_lost(request, result_code::upstream_lost, ran_state::unknown);
        } else {
            drop_reservation(request, attempt);
        }
    }
}

void entry_core::handle(const upstream_leaving& event)
{
    if (!event.is_leaving) {
        leaving_upstreams_.erase(event.vm);
        return;
    }
    leaving_upstreams_.insert(event.vm);
    std::vector<std::pair<attempt_id, request_ptr>> waiting;
    for (const auto& [attempt, request] : attempts_) {
        for (const auto& open : request->reservations) {
            if (open.attempt == attempt && open.vm == event.vm) {
                waiting.emplace_back(attempt, request);
            }
        }
    }
    for (const auto& [attempt, request] : waiting) {
        actions_.emplace_back(send_to_upstream{event.vm, cancel_message{attempt}});
        drop_reservation(request, attempt);
    }
}

void entry_core::handle(const upstream_said& event)
{
    std::visit([&](const auto& message) { on_message(event.vm, message); }, event.message);
}

void entry_core::on_message(const std::string& vm, const hello_message& message)
{
    auto& view = upstreams_[vm];
    view.vm = vm;
    view.zone = message.zone;
    view.region = message.region;
    view.incarnation = message.incarnation;
    const auto former_models = std::exchange(view.models, message.models);
    join_pools(view, former_models);
    view.slots = message.slots;
    view.free_slots = message.slots;
    view.queued = 0;
    view.leaving = message.leaving;
    view.connected = true;
    actions_.emplace_back(emit_record{{"upstream.connected", "", "", "", vm,
                                       std::to_string(message.slots) + " slots, zone " + message.zone}});
}

void entry_core::on_message(const std::string& vm, const load_message& message)
{
    const auto found = upstreams_.find(vm);
    if (found == upstreams_.end()) {
        return;
    }
    auto& view = found->second;
    view.free_slots = message.free_slots;
    view.queued = message.queued;
    view.expected_wait = message.expected_wait;
    view.yields_tier = message.yields_tier;
    const bool newly_slowed = message.slowed && !view.slowed;
    if (std::exchange(view.slowed, message.slowed) != message.slowed) {
        actions_.emplace_back(
            emit_record{{message.slowed ? "upstream.slowed" : "upstream.recovered", "", "", "", vm, ""}});
    }
    view.leaving = message.leaving;
    if (newly_slowed && is_late_bound()) {
        move_from(vm);
    }
}

void entry_core::on_message(const std::string& vm, const granted_message& message)
{
    const auto request = find_attempt(message.attempt);
    const bool is_open = request != nullptr &&
                         std::ranges::find(request->reservations, message.attempt, &reservation::attempt) !=
                             request->reservations.end();
    if (!is_open) {
        actions_.emplace_back(send_to_upstream{vm, cancel_message{message.attempt}});
        return;
    }
    if (request->running) {
        take_over(request, message.attempt, vm);
        return;
    }
    withdraw_reservations(*request, &message.attempt);
    dispatch(request, {vm, message.attempt});
}

void entry_core::on_message(const std::string& vm, const refused_message& message)
{
    const auto request = find_attempt(message.attempt);
    if (request == nullptr) {
        return;
    }
    record(*request, "request.refused", vm, refusal_reason(message));
    request->last_refusal = message.code;
    request->last_retry_after = message.retry_after;
    if (message.code == result_code::overloaded && message.retry_after > duration::zero()) {
        request->refused_by.insert(vm);
        request->longest_refusal = std::max(request->longest_refusal, message.retry_after);
    }
    if (is_hedge(*request, message.attempt)) {
        drop_hedge(*request);
        return;
    }
    if (is_running(*request, message.attempt)) {
        // Refused after the dispatch: it never started, so it does not count as an attempt that ran.
        forget_attempt(vm, message.attempt);
        request->running.reset();
        --request->dispatches;
    }
    drop_reservation(request, message.attempt);
}

void entry_core::on_message(const std::string& vm, const started_message& message)
{
    const auto request = find_attempt(message.attempt);
    if (request == nullptr || !is_running(*request, message.attempt)) {
        return;
    }
    request->running->started = true;
    record(*request, "request.started", vm, "");
}

void entry_core::on_message(const std::string& /*vm*/, const head_message& message)
{
    const auto request = find_attempt(message.attempt);
    if (request != nullptr && is_hedge(*request, message.attempt)) {
        request->hedge->status = message.status;
        request->hedge->content_type = message.content_type;
        return;
    }
    if (request == nullptr || !is_running(*request, message.attempt)) {
        return;
    }
    request->status = message.status;
    request->content_type = message.content_type;
}

void entry_core::on_message(const std::string& vm, const chunk_message& message)
{
    const auto request = find_attempt(message.attempt);
    if (request == nullptr) {
        return;
    }
    if (is_hedge(*request, message.attempt)) {
        settle_hedge(*request, message.attempt);
    }
    if (!is_running(*request, message.attempt)) {
        return;
    }
    request->progress_at = now_;
    if (message.offset != request->received) {
        // A gap or a repetition can only come from a fault of the peer; the answer would not be the
        // upstream's.
        actions_.emplace_back(send_to_upstream{vm, cancel_message{message.attempt}});
        attempt_lost(request, result_code::answer_truncated, ran_state::yes);
        return;
    }
    request->received += message.bytes.size();
    request->tokens = message.tokens;
    if (request->first_token_at == never) {
        request->first_token_at = now_;
        settle_hedge(*request, message.attempt);
        record(*request, "request.first_token", vm, target_reason(*request));
    }
    deliver(*request, message.bytes);
}

void entry_core::on_message(const std::string& /*vm*/, const finished_message& message)
{
    const auto request = find_attempt(message.attempt);
    if (request != nullptr && is_hedge(*request, message.attempt)) {
        drop_hedge(*request);
        return;
    }
    if (request == nullptr || !is_running(*request, message.attempt)) {
        return;
    }
    if (message.code == result_code::ok) {
        complete(request);
        return;
    }
    attempt_lost(request, message.code, message.ran);
}

// --- Answers
// --------------------------------------------------------------------------------------------------

header_list entry_core::answer_headers(const entry_request& request) const
{
    return {{"Content-Type", request.content_type}, {"Clementinegap-Request-Id", request.id}};
}

void entry_core::send_head(entry_request& request)
{
    request.head_sent = true;
    actions_.emplace_back(answer_head{request.input.caller, request.status, answer_headers(request)});
}

void entry_core::deliver(entry_request& request, std::string bytes)
{
    if (request.caller_left) {
        const auto size = static_cast<std::uint32_t>(bytes.size());
        actions_.emplace_back(
            send_to_upstream{request.running->vm, credit_message{request.running->attempt, size}});
        return;
    }
    const bool hold = !is_stream(request.content_type) && !request.head_sent &&
                      request.held.size() + bytes.size() <= settings_.max_held_bytes;
    if (hold) {
        const auto size = static_cast<std::uint32_t>(bytes.size());
        request.held += bytes;
        actions_.emplace_back(
            send_to_upstream{request.running->vm, credit_message{request.running->attempt, size}});
        return;
    }
    if (!request.head_sent) {
        send_head(request);
    }
    if (!request.held.empty()) {
        request.undrained += request.held.size();
        actions_.emplace_back(answer_bytes{request.input.caller, std::exchange(request.held, {})});
    }
    request.undrained += bytes.size();
    // After the end mark nothing is left to go on with.
    request.at_event_end = bytes.ends_with("\n\n") && bytes.find("[DONE]") == std::string::npos;
    actions_.emplace_back(answer_bytes{request.input.caller, std::move(bytes)});
}

void entry_core::handle(const caller_drained& event)
{
    const auto found = requests_.find(event.caller);
    if (found == requests_.end()) {
        return;
    }
    auto& undrained = found->second->undrained;
    undrained -= std::min<std::uint64_t>(undrained, event.bytes);
    if (!found->second->running) {
        return;
    }
    const auto& running = *found->second->running;
    actions_.emplace_back(send_to_upstream{running.vm, credit_message{running.attempt, event.bytes}});
}

void entry_core::complete(const request_ptr& request)
{
    if (!request->caller_left) {
        if (request->head_sent) {
            actions_.emplace_back(answer_end{request->input.caller});
        } else {
            actions_.emplace_back(answer_whole{request->input.caller, request->status,
                                               answer_headers(*request), std::exchange(request->held, {})});
        }
    }
    finish(request, result_code::ok, ran_state::yes);
}

bool entry_core::may_start_again(const entry_request& request) const
{
    return request.rules.repeat != repeat_rule::never && !request.caller_left &&
           (!request.head_sent || can_resume(request)) && request.dispatches < settings_.max_dispatches;
}

bool entry_core::can_resume(const entry_request& request) const
{
    return is_late_bound() && !request.rules.is_service && is_stream(request.content_type) &&
           request.at_event_end;
}

void entry_core::attempt_lost(const request_ptr& request, result_code code, ran_state ran)
{
    const auto lost = *request->running;
    forget_attempt(lost.vm, lost.attempt);
    request->running.reset();
    record(*request, "request.attempt_lost", lost.vm, std::string(describe(code).name));
    request->last_refusal = code;
    if (request->hedge) {
        // The other attempt goes on in its place.
        adopt_hedge(*request);
        return;
    }
    const bool within_budget =
        !is_late_bound() || retries_.take(static_cast<std::uint8_t>(request->rules.tier));
    if (!may_start_again(*request) || !within_budget) {
        fail(request, {code, ran, duration::zero(), ""});
        return;
    }
    if (!request->head_sent) {
        request->held.clear();
        request->wasted_tokens += std::exchange(request->tokens, 0);
    }
    request->refused_by.clear();
    if (request->reservations.empty()) {
        place(request);
    }
}

void entry_core::on_deadline(const request_ptr& request)
{
    request->deadline_timer = 0;
    auto ran = request->dispatches == 0 ? ran_state::no : ran_state::unknown;
    if (request->running && request->running->started) {
        ran = ran_state::yes;
    }
    fail(request, {result_code::deadline_expired, ran, duration::zero(), ""});
}

void entry_core::fail(const request_ptr& request, const failure_notice& notice)
{
    if (!request->caller_left) {
        if (!request->head_sent) {
            actions_.emplace_back(failure_answer(request->input.caller, notice, request->id));
        } else if (is_stream(request->content_type)) {
            actions_.emplace_back(
                answer_bytes{request->input.caller, failure_stream_event(notice, request->id)});
            actions_.emplace_back(answer_end{request->input.caller});
        } else {
            actions_.emplace_back(answer_abort{request->input.caller});
        }
    }
    finish(request, notice.code, notice.ran);
}

void entry_core::finish(const request_ptr& request, result_code code, ran_state ran)
{
    withdraw_reservations(*request, nullptr);
    if (request->running) {
        forget_attempt(request->running->vm, request->running->attempt);
        if (code != result_code::ok) {
            actions_.emplace_back(
                send_to_upstream{request->running->vm, cancel_message{request->running->attempt}});
        }
        request->running.reset();
    }
    drop_hedge(*request);
    timers_.cancel(std::exchange(request->widen_timer, 0));
    timers_.cancel(std::exchange(request->hedge_timer, 0));
    timers_.cancel(std::exchange(request->deadline_timer, 0));
    timers_.cancel(std::exchange(request->retry_timer, 0));
    const bool has_token = request->first_token_at != never;
    request_measured measured;
    measured.class_name = request->rules.name;
    measured.code = code;
    measured.ran = ran;
    measured.first_token = has_token ? request->first_token_at - request->arrived : duration::zero();
    measured.total = now_ - request->arrived;
    measured.tokens = request->tokens;
    measured.tier = request->rules.tier;
    measured.queue_wait = std::min(request->first_dispatch_at, now_) - request->arrived;
    measured.dispatches = request->dispatches;
    measured.wasted_tokens = request->wasted_tokens + (code == result_code::ok ? 0 : request->tokens);
    measured.target_met =
        code == result_code::ok && has_token && request->first_token_at <= request->target_at;
    actions_.emplace_back(measured);
    record(*request, "request.ended", "",
           std::string(describe(code).name) + ", ran " + std::string(to_string(ran)));
    requests_.erase(request->input.caller);
    if (draining_ && requests_.empty()) {
        actions_.emplace_back(drained{});
    }
}

// --- The rest
// -------------------------------------------------------------------------------------------------

void entry_core::handle(const caller_gone& event)
{
    const auto found = requests_.find(event.caller);
    if (found == requests_.end()) {
        return;
    }
    const auto request = found->second;
    request->caller_left = true;
    const bool runs_to_its_end = request->running && request->rules.repeat == repeat_rule::never;
    if (!runs_to_its_end) {
        finish(request, result_code::cancelled,
               request->dispatches == 0 ? ran_state::no : ran_state::unknown);
    }
}

void entry_core::handle(const configuration_applied& event)
{
    const bool newer = configuration_ == nullptr || event.value->version > configuration_->version;
    if (!newer) {
        return;
    }
    configuration_ = event.value;
    index_configuration();
    actions_.emplace_back(emit_record{
        {"configuration.applied", "", "", "", "", "version " + std::to_string(configuration_->version)}});
}

void entry_core::handle(const drain_started& /*event*/)
{
    if (draining_) {
        return;
    }
    draining_ = true;
    actions_.emplace_back(emit_record{{"drain.started", "", "", "", "", ""}});
    if (requests_.empty()) {
        actions_.emplace_back(drained{});
    }
}

void entry_core::handle(const soft_item_seen& event)
{
    limits_.item_seen(event.item, now_);
}

void entry_core::handle(const tick& /*event*/)
{
    // Due timers run before every event.
}

entry_core::request_ptr entry_core::find_attempt(attempt_id attempt) const
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : found->second;
}

bool entry_core::is_running(const entry_request& request, attempt_id attempt) const
{
    return request.running && request.running->attempt == attempt;
}

void entry_core::record(const entry_request& request, std::string kind, std::string upstream,
                        std::string detail)
{
    actions_.emplace_back(emit_record{{std::move(kind), request.id, request.rules.name, request.workspace,
                                       std::move(upstream), std::move(detail)}});
}

std::string entry_core::new_request_id()
{
    return hexadecimal(settings_.incarnation) + hexadecimal(++last_request_).substr(4);
}

} // namespace clementinegap
