#include "routing/request_router.h"

#include "core/digest.h"

#include <algorithm>
#include <array>

namespace clementinegap {
namespace {

/// How often soft state is aged and engines are divided anew; well below the swings of the traffic.
constexpr duration housekeeping_interval = milliseconds(250);
/// Told to callers when nothing better is known: about the time in which a restarted upstream is listed.
constexpr duration usual_return = milliseconds(800);
/// Share of its objective after which a repeatable request is tried elsewhere; most answers are far sooner.
constexpr double move_share = 0.6;
/// Connections that may be refused to one request before it is given up.
constexpr std::uint32_t max_unreachable = 3;
/// Less time than this is not worth another send.
constexpr duration least_time = milliseconds(20);
/// Streams that begin while draining must be able to end: most last no longer than this.
constexpr duration drain_stream_time = milliseconds(4500);
/// Time of a token in a moderately filled engine, from the operators' sheet of their engines.
constexpr duration token_time = microseconds(7000);
/// Step tolerance of generations that promise no gap.
constexpr duration any_gap = seconds(10);
constexpr duration first_service_time = milliseconds(50);
/// Running requests take the larger part of an engine's memory under load; cached parts have the rest.
constexpr std::uint64_t cache_share_divisor = 2;
/// Keeps a report within a datagram.
constexpr std::size_t most_reported_placements = 40;
constexpr int service_time_smoothing = 16;
constexpr std::uint8_t most_urgency = 9;

template <class... visitors> struct overloaded : visitors... {
    using visitors::operator()...;
};

/// Engines admit and read requests by urgency, from 0 to 9. Within a class short prompts go before long ones,
/// so that many do not wait behind one; a class always goes before the next.
std::uint8_t engine_urgency(std::uint8_t class_urgency, std::uint32_t prefill_tokens)
{
    constexpr std::array<std::uint32_t, 3> size_steps = {2000, 5000,
                                                         12000}; ///< Tokens to read; one, two, six chunks.
    const auto size = std::count_if(size_steps.begin(), size_steps.end(),
                                    [&](std::uint32_t step) { return prefill_tokens > step; });
    constexpr auto sizes = static_cast<std::ptrdiff_t>(size_steps.size() + 1);
    return static_cast<std::uint8_t>(std::min<std::ptrdiff_t>(most_urgency, class_urgency * sizes + size));
}

bool certainly_not_run(send_fault fault)
{
    return fault == send_fault::unreachable || fault == send_fault::not_run ||
           fault == send_fault::wrong_instance;
}

std::string_view to_string(send_fault fault)
{
    switch (fault) {
    case send_fault::unreachable:
        return "unreachable";
    case send_fault::not_run:
        return "not_run";
    case send_fault::wrong_instance:
        return "wrong_instance";
    case send_fault::lost:
        return "lost";
    case send_fault::failed_answer:
        return "failed_answer";
    case send_fault::bad_answer:
        return "bad_answer";
    }
    return "unknown";
}

} // namespace

request_router::request_router(router_settings settings)
    : settings_(std::move(settings)),
      random_(static_cast<std::minstd_rand::result_type>(hash64(settings_.daemon, settings_.incarnation)))
{
}

std::span<const router_action> request_router::on_event(const router_event& event, time_point now)
{
    now_ = now;
    actions_.clear();
    std::visit([this](const auto& each) { on(each); }, event);
    return actions_;
}

void request_router::on(const tick&)
{
    timers_.run_due(now_);
}

void request_router::on(const request_arrived& event)
{
    if (!table_) {
        refuse(event.request, event.id, 503, result_code::not_ready, jittered(usual_return),
               "no configuration yet");
        return;
    }
    const auto match = table_->find(event.host, event.path, event.api_key);
    if (match.found == nullptr) {
        refuse(event.request, event.id, 404, result_code::not_found, std::nullopt,
               "no route; configuration " + std::to_string(table_->version()));
        return;
    }
    if (match.unauthorized) {
        refuse(event.request, event.id, 401, result_code::unauthorized, std::nullopt,
               "unknown API key; configuration " + std::to_string(table_->version()));
        return;
    }

    routed_request request;
    request.number = event.request;
    request.id = event.id;
    request.table = table_;
    request.way = match.found;
    request.service = pick_service(*match.found);
    request.workspace = match.owner == nullptr ? "" : match.owner->name;
    const auto priority = match.owner == nullptr ? std::nullopt : match.owner->priority;
    request.urgency = std::min(most_urgency, priority.value_or(match.found->priority));
    request.fingerprint = std::to_string(hash64(event.path, hash64(request.workspace, event.body_hash)));
    request.prompt = event.prompt;
    request.step_tolerance = step_tolerance(*match.found, request.service);
    request.arrived = now_;
    const auto timeout =
        match.found->timeout > duration::zero() ? match.found->timeout : duration(seconds(60));
    request.ends_at = now_ + std::min(timeout, event.deadline.value_or(timeout));

    if (crashes_.is_quarantined(request.fingerprint, now_)) {
        refuse(event.request, event.id, 503, result_code::quarantined, std::nullopt,
               "upstreams crashed while they ran this request");
        return;
    }
    if (draining()) {
        const auto needed = match.found->is_stream ? drain_stream_time : match.found->timeout;
        if (now_ + needed > last_end_) {
            refuse(event.request, event.id, 503, result_code::leaving, duration::zero(),
                   "this daemon is stopping");
            return;
        }
    }
    budget(request.service).request_seen(now_);
    if (request.is_generation()) {
        const auto engine_time =
            prefill_time(request.prompt.own_tokens()) +
            token_time * request.prompt.expected_output() /
                std::max<std::int64_t>(1, request.table->find_service(request.service) != nullptr &&
                                                  request.table->find_service(request.service)->engine
                                              ? request.table->find_service(request.service)->engine->slots
                                              : 1);
        demand_.on_request(request.step_tolerance, request.way->priority, engine_time, now_);
    }
    auto& stored = requests_[event.request] = std::move(request);
    if (!try_send(stored)) {
        give_up(stored, send_fault::unreachable, false);
    }
}

const std::string& request_router::pick_service(const route& way)
{
    std::uint64_t total = 0;
    for (const auto& each : way.targets) {
        total += each.weight;
    }
    if (way.targets.size() == 1 || total == 0) {
        return way.targets.front().service;
    }
    auto drawn = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random_);
    for (const auto& each : way.targets) {
        if (drawn < each.weight) {
            return each.service;
        }
        drawn -= each.weight;
    }
    return way.targets.back().service;
}

duration request_router::step_tolerance(const route& way, std::string_view service) const
{
    const auto* target = table_->find_service(service);
    if (target == nullptr || !target->engine || way.max_gap == duration::zero()) {
        return any_gap;
    }
    return way.max_gap / std::max(1U, target->engine->tokens_per_event);
}

upstream_choice request_router::choose(const routed_request& request)
{
    const choice_view view{ledger_, health_, caches_, settings_.zone, request.tried, now_};
    if (!request.is_generation()) {
        const auto upstreams = directory_.usable(request.service, now_);
        const auto known = service_times_.find(request.service);
        return choose_plain(upstreams, known == service_times_.end() ? first_service_time : known->second,
                            view);
    }
    const auto& partition = partitions_[request.service];
    auto best = choose_engine(partition.engines_for(request.step_tolerance), request.prompt, view);
    const auto patience = request.way->objective / 2;
    if (best.upstream && best.expected_wait <= patience) {
        return best;
    }
    // The own section is full: an engine of more tolerant streams may begin sooner, at the risk of gaps.
    const auto spill = choose_engine(partition.looser_engines(request.step_tolerance), request.prompt, view);
    if (spill.upstream && (!best.upstream || spill.expected_wait + patience < best.expected_wait)) {
        return spill;
    }
    return best.upstream ? best : choose_engine(partition.engines(), request.prompt, view);
}

bool request_router::try_send(routed_request& request)
{
    const auto time_left = request.ends_at - now_;
    if (time_left < least_time) {
        return false;
    }
    const auto choice = choose(request);
    if (!choice.upstream || choice.expected_wait > time_left) {
        return false;
    }
    if (request.is_generation()) {
        const auto needed = pace_.needed(request.service, request.step_tolerance,
                                         choice.expected_wait + prefill_time(choice.prefill_tokens),
                                         request.prompt.expected_output());
        if (needed > time_left) {
            // It would take time from requests that can end, and end for nothing itself.
            log("request.cannot_end", request,
                "needs_ms " + std::to_string(to_milliseconds(needed)) + " left_ms " +
                    std::to_string(to_milliseconds(time_left)));
            return false;
        }
    }
    request.upstream = choice.upstream;
    request.prefill_tokens = request.is_generation() ? choice.prefill_tokens : 0;
    request.first_event = false;
    request.sent_at = now_;
    request.expected_start = choice.expected_wait + prefill_time(choice.prefill_tokens);
    request.tried.push_back(choice.upstream->id);
    ++request.sends;
    ledger_.add(choice.upstream->id, request.prefill_tokens);
    note_placement(request);
    send_request action;
    action.request = request.number;
    action.upstream = choice.upstream;
    action.time_left = time_left;
    action.workspace = request.workspace;
    action.urgency =
        request.is_generation() ? engine_urgency(request.urgency, choice.prefill_tokens) : request.urgency;
    action.is_generation = request.is_generation();
    action.is_stream = request.way->is_stream;
    action.repeatable = request.way->repeat != repeat_rule::once;
    action.resumable = request.way->repeat == repeat_rule::resumable;
    actions_.emplace_back(std::move(action));
    log("request.sent", request,
        "route " + request.way->name + " configuration " + std::to_string(request.table->version()) +
            " send " + std::to_string(request.sends) + " wait_ms " +
            std::to_string(to_milliseconds(choice.expected_wait)) + " prefill " +
            std::to_string(choice.prefill_tokens) + " reread " + std::to_string(choice.reread_tokens) +
            " left_ms " + std::to_string(to_milliseconds(time_left)) + " reports " +
            std::to_string(ledger_.reporting_daemons()));
    schedule(request);
    return true;
}

void request_router::note_placement(const routed_request& request)
{
    if (request.prompt.parts.size() < 2) {
        return;
    }
    for (const auto& part : std::span(request.prompt.parts).first(request.prompt.parts.size() - 1)) {
        part_placement placement{request.upstream->id, part.id, part.tokens};
        caches_.placed(placement, now_);
        if (unreported_placements_.size() < most_reported_placements) {
            unreported_placements_.push_back(std::move(placement));
        }
    }
}

void request_router::schedule(routed_request& request)
{
    timers_.cancel(request.timer);
    auto due = request.ends_at;
    const bool can_move =
        request.way->repeat == repeat_rule::repeatable && request.sends < request.way->max_upstreams;
    if (can_move) {
        const auto move_at = now_ + duration(static_cast<duration::rep>(
                                        static_cast<double>(request.way->objective.count()) * move_share));
        due = std::min(due, move_at);
    }
    request.timer = timers_.schedule(due, [this, number = request.number](time_point) { on_timer(number); });
}

void request_router::on_timer(request_number number)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    auto& request = found->second;
    if (now_ < request.ends_at) {
        if (!request.answer_begun && budget(request.service).take(daemons(), now_)) {
            health_.failed(request.upstream->id, now_);
            log("request.moved", request, "no answer in time for the objective");
            release(request);
            request.may_have_run = true;
            actions_.emplace_back(stop_send{number});
            if (try_send(request)) {
                return;
            }
            give_up(request, send_fault::lost, false);
            return;
        }
        timers_.cancel(request.timer);
        request.timer = timers_.schedule(request.ends_at, [this, number](time_point) { on_timer(number); });
        return;
    }
    if (request.upstream) {
        request.may_have_run = true;
        actions_.emplace_back(stop_send{number});
    }
    log("request.expired", request, "age_ms " + std::to_string(to_milliseconds(now_ - request.arrived)));
    if (request.answer_begun) {
        actions_.emplace_back(cut_caller{number});
    } else if (request.may_have_run) {
        actions_.emplace_back(answer_caller{number, 504, result_code::deadline_expired, std::nullopt});
    } else {
        actions_.emplace_back(
            answer_caller{number, 503, result_code::deadline_expired, jittered(usual_return)});
    }
    finish(request, result_code::deadline_expired);
}

void request_router::on(const send_failed& event)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end() || !found->second.upstream) {
        return;
    }
    auto& request = found->second;
    const auto upstream = request.upstream;
    log("request.send_failed", request,
        std::string(to_string(event.fault)) + (event.answer_begun ? " begun" : ""));
    release(request);
    switch (event.fault) {
    case send_fault::unreachable:
        --request.sends;
        ++request.unreachable;
        health_.unreachable(upstream->id, now_);
        process_gone(upstream->id);
        break;
    case send_fault::wrong_instance:
        // Whoever has the address now is not the upstream that is listed.
        health_.unreachable(upstream->id, now_);
        health_.unreachable(upstream->id, now_);
        break;
    case send_fault::lost:
        crashes_.send_lost(upstream->id, request.fingerprint, now_);
        health_.failed(upstream->id, now_);
        break;
    case send_fault::not_run:
    case send_fault::failed_answer:
    case send_fault::bad_answer:
        health_.failed(upstream->id, now_);
        break;
    }
    request.may_have_run = request.may_have_run || !certainly_not_run(event.fault);
    if (may_send_again(request, event) && try_send(request)) {
        return;
    }
    give_up(request, event.fault, event.answer_begun);
}

bool request_router::may_send_again(routed_request& request, const send_failed& event)
{
    const auto& way = *request.way;
    if (event.answer_begun && way.repeat != repeat_rule::resumable) {
        return false;
    }
    if (request.may_have_run && way.repeat == repeat_rule::once) {
        return false;
    }
    if (request.sends >= way.max_upstreams || request.unreachable > max_unreachable) {
        return false;
    }
    if (crashes_.is_quarantined(request.fingerprint, now_)) {
        return false;
    }
    if (event.fault == send_fault::unreachable && request.sends == 0) {
        return true;
    }
    if (!budget(request.service).take(daemons(), now_)) {
        log("request.no_budget", request, "retry budget of " + request.service + " is used up");
        return false;
    }
    return true;
}

void request_router::give_up(routed_request& request, send_fault fault, bool answer_begun)
{
    auto code = result_code::upstream_failed;
    if (answer_begun) {
        code = result_code::answer_truncated;
        log("request.cut", request, std::string(to_string(fault)));
        actions_.emplace_back(cut_caller{request.number});
    } else if (fault == send_fault::failed_answer) {
        actions_.emplace_back(pass_failure{request.number});
    } else if (!request.may_have_run) {
        code = request.sends == 0 ? result_code::no_upstream : result_code::overloaded;
        log("request.refused", request,
            request.sends + request.unreachable == 0 ? "503 no upstream can end it in time"
                                                     : "503 after " + std::string(to_string(fault)));
        actions_.emplace_back(answer_caller{request.number, 503, code, jittered(usual_return)});
    } else {
        code = fault == send_fault::bad_answer ? result_code::upstream_failed : result_code::upstream_lost;
        log("request.failed", request, "502 after " + std::string(to_string(fault)) + ", it may have run");
        actions_.emplace_back(answer_caller{request.number, 502, code, std::nullopt});
    }
    finish(request, code);
}

void request_router::on(const first_event_seen& event)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end() || !found->second.upstream || found->second.first_event) {
        return;
    }
    auto& request = found->second;
    request.first_event = true;
    request.answer_begun = true;
    request.first_event_after = now_ - request.sent_at;
    ledger_.prefill_done(request.upstream->id, request.prefill_tokens);
    request.prefill_tokens = 0;
}

void request_router::on(const request_completed& event)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) {
        return;
    }
    auto& request = found->second;
    if (request.upstream && request.is_generation() && !event.upstream_failed && request.sends == 1) {
        pace_.stream_ended(request.service, request.step_tolerance, request.expected_start,
                           request.first_event_after, now_ - request.sent_at - request.first_event_after,
                           request.prompt.expected_output());
    }
    if (request.upstream) {
        if (event.upstream_failed) {
            health_.failed(request.upstream->id, now_);
        } else {
            health_.succeeded(request.upstream->id, now_);
            if (auto item = crashes_.ended_well(request.fingerprint, now_)) {
                actions_.emplace_back(spread_item{std::move(*item)});
            }
        }
        if (!request.is_generation()) {
            auto& smoothed = service_times_.try_emplace(request.service, first_service_time).first->second;
            smoothed += (now_ - request.arrived - smoothed) / service_time_smoothing;
        }
    }
    log("request.completed", request,
        "total_ms " + std::to_string(to_milliseconds(now_ - request.arrived)) + " first_ms " +
            std::to_string(to_milliseconds(request.first_event_after)));
    release(request);
    finish(request, event.upstream_failed ? result_code::upstream_failed : result_code::ok);
}

void request_router::on(const caller_left& event)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) {
        return;
    }
    auto& request = found->second;
    log("request.caller_left", request, "age_ms " + std::to_string(to_milliseconds(now_ - request.arrived)));
    if (request.upstream) {
        actions_.emplace_back(stop_send{event.request});
    }
    finish(request, result_code::cancelled);
}

void request_router::release(routed_request& request)
{
    if (!request.upstream) {
        return;
    }
    ledger_.remove(request.upstream->id, request.prefill_tokens, request.first_event);
    request.prefill_tokens = 0;
    request.upstream = nullptr;
}

void request_router::finish(routed_request& request, result_code code)
{
    measure_request measure;
    measure.route = request.way->name;
    measure.code = code;
    measure.urgency = request.urgency;
    measure.total = now_ - request.arrived;
    measure.first_event = request.way->is_stream
                              ? request.sent_at - request.arrived + request.first_event_after
                              : measure.total;
    measure.on_time = code == result_code::ok && measure.first_event <= request.way->objective;
    measure.sends = request.sends;
    actions_.emplace_back(std::move(measure));
    release(request);
    timers_.cancel(request.timer);
    requests_.erase(request.number);
}

void request_router::refuse(request_number number, std::string_view id, int status, result_code code,
                            std::optional<duration> retry_after, std::string detail)
{
    actions_.emplace_back(log_decision{"request.refused", std::string(id), "",
                                       std::to_string(status) + " " + std::move(detail)});
    actions_.emplace_back(answer_caller{number, status, code, retry_after});
}

void request_router::log(std::string_view event, const routed_request& request, std::string detail)
{
    actions_.emplace_back(log_decision{std::string(event), request.id,
                                       request.upstream ? request.upstream->id : "", std::move(detail)});
}

void request_router::process_gone(std::string_view upstream)
{
    caches_.forget(upstream);
    for (auto& item : crashes_.process_gone(upstream, now_)) {
        actions_.emplace_back(spread_item{std::move(item)});
    }
}

void request_router::on(const configuration_received& event)
{
    if (table_ && event.table->version() <= table_->version()) {
        return;
    }
    const bool first = table_ == nullptr;
    table_ = event.table;
    expected_kinds_.clear();
    for (const auto& way : table_->streams()) {
        expected_kinds_.push_back(
            {step_tolerance(way.get(), way.get().targets.front().service), 0, 0, way.get().priority});
    }
    actions_.emplace_back(log_decision{"configuration.in_force", "", "",
                                       "version " + std::to_string(table_->version()) + " routes " +
                                           std::to_string(table_->route_count())});
    if (first) {
        housekeeping();
    } else {
        update_partitions();
    }
}

void request_router::on(const upstream_listed& event)
{
    const auto before = directory_.find(event.record.id);
    if (before && before->incarnation != event.record.incarnation) {
        process_gone(event.record.id);
    }
    if (!directory_.put(event.record)) {
        return;
    }
    actions_.emplace_back(log_decision{"upstream.listed", "", event.record.id,
                                       event.record.service + (event.record.leaving ? " leaving" : "")});
    update_partitions();
}

void request_router::on(const upstream_removed& event)
{
    directory_.erase(event.id, now_);
    actions_.emplace_back(log_decision{"upstream.removed", "", event.id, ""});
    update_partitions();
}

void request_router::on(const directory_listed& event)
{
    std::vector<std::string> ids;
    for (const auto& each : event.records) {
        ids.push_back(each.id);
        on(upstream_listed{each});
    }
    directory_.retain(ids, now_);
    update_partitions();
}

void request_router::on(const directory_unreachable&)
{
    directory_.directory_lost();
    actions_.emplace_back(log_decision{"directory.lost", "", "", ""});
}

void request_router::on(const directory_reachable&)
{
    directory_.directory_returned(now_);
    actions_.emplace_back(log_decision{"directory.regained", "", "", ""});
}

void request_router::on(const load_reported& event)
{
    for (const auto& placement : event.report.placements) {
        caches_.placed(placement, now_);
    }
    ledger_.on_report(event.report, now_);
    for (const auto& item : event.items) {
        crashes_.on_item(item, now_);
    }
}

void request_router::update_partitions()
{
    if (!table_) {
        return;
    }
    auto demands = ledger_.demands_of_others();
    const auto own = demand_.demands(now_);
    demands.insert(demands.end(), own.begin(), own.end());
    demands.insert(demands.end(), expected_kinds_.begin(), expected_kinds_.end());
    for (const auto& [name, each] : table_->services()) {
        if (each.engine) {
            caches_.set_capacity(each.engine->memory_tokens / cache_share_divisor);
            partitions_[name].update(directory_.usable(name, now_), demands);
        }
    }
}

void request_router::housekeeping()
{
    ledger_.expire(now_);
    health_.expire(now_);
    crashes_.expire(now_);
    caches_.expire(now_);
    directory_.expire(now_);
    update_partitions();
    timers_.schedule(now_ + housekeeping_interval, [this](time_point) { housekeeping(); });
}

std::size_t request_router::daemons() const
{
    return std::max(registered_daemons_, ledger_.reporting_daemons() + 1);
}

duration request_router::jittered(duration value)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) *
                                               std::uniform_real_distribution<double>(0.75, 1.5)(random_)));
}

retry_budget& request_router::budget(const std::string& service)
{
    return budgets_.try_emplace(service, settings_.retries).first->second;
}

load_report request_router::report(time_point now)
{
    load_report result;
    result.daemon = settings_.daemon;
    result.incarnation = settings_.incarnation;
    result.sequence = ++report_sequence_;
    result.configuration_version = table_ ? table_->version() : 0;
    result.loads = ledger_.own_loads();
    result.demands = demand_.demands(now);
    result.placements = std::move(unreported_placements_);
    unreported_placements_.clear();
    return result;
}

const engine_partition* request_router::partition(std::string_view service) const
{
    const auto found = partitions_.find(service);
    return found == partitions_.end() ? nullptr : &found->second;
}

} // namespace clementinegap
