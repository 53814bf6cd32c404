#include "routing/request_router.h"

#include "core/digest.h"
#include "routing/admission.h"
#include "routing/scaled_duration.h"
#include "routing/send_order.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

/// Tenths of the objective after which a repeatable request is sent to another upstream; most responses
/// arrive far sooner.
constexpr std::int64_t move_after_tenths = 6;
/// Connections that may be refused for one request before it fails.
constexpr std::uint32_t max_unreachable = 3;
/// Minimum time left for another send to be worthwhile.
constexpr duration min_send_time = milliseconds(20);
/// Streams that begin while draining must be able to end; most take no longer than this.
constexpr duration drain_stream_time = milliseconds(4500);
/// Estimates of a stream's time are low on purpose, and half of the callers' length hints are too short.
constexpr int stream_time_margin = 2;
constexpr int service_time_smoothing = 16;

} // namespace

request_router::request_router(router_settings settings)
    : settings_(std::move(settings)),
      random_(static_cast<std::minstd_rand::result_type>(hash64(settings_.daemon, settings_.incarnation))),
      placement_(settings_.placement, settings_.assumed_speed), records_(settings_.daemon),
      backoffs_(settings_.max_backoff), shares_(settings_.daemon)
{
}

std::span<const router_action> request_router::on_event(const router_event& event, time_point now)
{
    now_ = now;
    if (settings_.follows_others && !started_at_) {
        started_at_ = now;
    }
    actions_.clear();
    if (members_.on_time(now)) {
        update_shares();
        versions_.resumed(now);
    }
    std::visit([this](const auto& each) { on(each); }, event);
    end_quarantined();
    return actions_;
}

void request_router::on(const tick&)
{
    timers_.run_due(now_);
}

void request_router::on(const request_arrived& event)
{
    if (table_ && !knows_suspicions()) {
        refuse(event.request, event.id, 503, result_code::not_ready, jittered(default_retry_after),
               "the recorded suspicions have not been read yet");
        return;
    }
    auto admitted = admit(event, table_, random_, now_);
    if (const auto* refused = std::get_if<refusal>(&admitted)) {
        const bool comes_back = refused->code == result_code::not_ready;
        refuse(event.request, event.id, refused->status, refused->code,
               comes_back ? std::optional(jittered(default_retry_after)) : std::nullopt, refused->detail);
        return;
    }
    auto& request = std::get<routed_request>(admitted);
    if (is_quarantined(request)) {
        refuse(event.request, event.id, 503, result_code::quarantined, std::nullopt,
               "upstreams crashed while they ran this request or others with a part of its prompt");
        return;
    }
    if (draining() && now_ + longest_time(request) > drain_deadline_) {
        refuse(event.request, event.id, 503, result_code::leaving, duration::zero(),
               "this daemon is stopping");
        return;
    }
    budget(request.service).request_seen(now_);
    if (request.is_generation()) {
        placement_.count_demand(request, now_);
        request.short_gap = placement_.has_shortest_gap(request);
    }
    if (const auto queue = wait_queues_.find(request.service);
        queue != wait_queues_.end() && !queue->second.empty()) {
        send_waiting(request.service);
    }
    auto& stored = requests_[event.request] = std::move(request);
    if (stored.continues && stored.can_be_resumed() && !find_origin(stored)) {
        return;
    }
    if (!try_send(stored)) {
        give_up(stored, send_fault::unreachable, false);
    }
}

duration request_router::longest_time(const routed_request& request) const
{
    const auto limit = request.ends_at - now_;
    if (!request.matched_route->is_stream) {
        return limit;
    }
    auto usual = drain_stream_time;
    if (request.is_generation()) {
        upstream_choice idle;
        idle.prefill_tokens = request.prompt.own_tokens();
        usual = std::max(usual, placement_.time_needed(request, idle) * stream_time_margin);
    }
    return std::min(limit, usual);
}

upstream_choice request_router::choose(const routed_request& request) const
{
    const auto current_gate = gate();
    const choice_view view{load_,
                           health_,
                           placement_.caches(),
                           settings_.zone,
                           request.tried,
                           now_,
                           request.short_gap,
                           placement_.speed(request.service),
                           &current_gate,
                           request.origin ? &*request.origin : nullptr,
                           &versions_,
                           request.matched_route->repeat == repeat_rule::once,
                           request.arrived + request.matched_route->objective - now_,
                           connections_};
    if (request.is_generation()) {
        return placement_.choose(request, view);
    }
    return choose_plain(directory_.usable(request.service, now_), service_time(request.service), view);
}

bool request_router::try_send(routed_request& request)
{
    const auto time_left = request.ends_at - now_;
    if (time_left < min_send_time) {
        return false;
    }
    update_partitions();
    const auto choice = choose(request);
    request.expected_wait = choice.expected_wait;
    if (!choice.upstream) {
        return wait_for_capacity(request);
    }
    if (choice.expected_wait > time_left) {
        return false;
    }
    if (request.is_generation()) {
        const auto needed = placement_.time_needed(request, choice);
        if (needed > time_left) {
            // It would take capacity from requests that can complete, and would not complete itself.
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
    request.expected_start = placement_.expected_start(request, choice);
    request.sent_choice = choice;
    request.tried.push_back(choice.upstream->id);
    ++request.sends;
    request.is_probe = backoffs_.sent(choice.upstream->id);
    shares_.sent(choice.upstream->id, now_);
    if (!request.is_generation()) {
        slots_.sent(use_of(*choice.upstream), now_);
    }
    load_.add(choice.upstream->id, request.prefill_tokens, request.short_gap);
    if (request.is_generation()) {
        placement_.sent(request, now_);
    }
    const auto urgency = request.is_generation() ? placement_.urgency(request, choice.prefill_tokens)
                                                 : request.priority.workspace;
    const auto order = make_send_request(request, choice, urgency, time_left);
    actions_.emplace_back(order);
    log("request.sent", request,
        describe_send(request, order) + " reports " + std::to_string(load_.reporting_daemons()));
    schedule(request);
    return true;
}

void request_router::schedule(routed_request& request)
{
    timers_.cancel(request.timer);
    auto due = request.ends_at;
    const bool can_move = request.matched_route->repeat == repeat_rule::repeatable &&
                          request.sends < request.matched_route->max_upstreams;
    if (can_move) {
        due = std::min(due, now_ + request.matched_route->objective * move_after_tenths / 10);
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
        const bool can_move = request.upstream && !request.response_begun && choose(request).upstream;
        if (can_move && budget(request.service).take(daemons(), now_)) {
            health_.failed(request.upstream->id, now_);
            log("request.moved", request, "no answer in time for the objective");
            release(request);
            request.may_have_run = true;
            plain_may_have_begun(request);
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
        plain_may_have_begun(request);
        actions_.emplace_back(stop_send{number});
    }
    log("request.expired", request, describe_wait(request, now_));
    if (request.response_begun) {
        actions_.emplace_back(abort_caller{number});
    } else if (request.may_have_run) {
        actions_.emplace_back(respond_to_caller{number, 504, result_code::deadline_expired, std::nullopt});
    } else {
        actions_.emplace_back(
            respond_to_caller{number, 503, result_code::deadline_expired, retry_after_for(request)});
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
    log("request.send_failed", request, describe_failure(request, event, now_));
    if (event.fault == send_fault::not_run) {
        placement_.not_run(request, now_);
        // An upstream that asks for a backoff says itself when it has room again.
        if (!request.is_generation() && !backoffs_.is_blocked(upstream->id, now_)) {
            slots_.rejected(use_of(*upstream), now_);
        }
    }
    end_probe(request, event.fault == send_fault::recalled ? probe_result::unknown : probe_result::failed);
    release(request);
    health_.send_failed(upstream->id, event.fault, now_);
    if (event.fault == send_fault::unreachable) {
        --request.sends;
        ++request.unreachable;
        process_ended(*upstream, end_evidence::likely);
        if (event.refused) {
            versions_.process_ended(upstream->id, upstream->incarnation, now_);
            crashed(*upstream);
            if (directory_.connection_refused(*upstream, now_)) {
                partitions_outdated_ = true;
            }
        }
    } else if (event.fault == send_fault::wrong_instance) {
        process_ended(*upstream, end_evidence::certain);
    } else if (event.fault == send_fault::recalled) {
        --request.sends;
        request.tried.pop_back(); // Once the upstream accepts requests again, it may be used like any other.
    } else if (event.fault == send_fault::lost) {
        crashes_.send_lost({upstream->id, upstream->incarnation}, request.fingerprint, now_);
        prompt_parts_.send_lost(*upstream, request.prompt, request.sent_at, request.streamed_for(now_), now_);
    }
    if (!certainly_not_run(event.fault)) {
        request.may_have_run = true;
        plain_may_have_begun(request);
    }
    if (may_send_again(request, event) && try_send(request)) {
        return;
    }
    give_up(request, event.fault, event.response_begun);
}

bool request_router::may_send_again(routed_request& request, const send_failed& event)
{
    const auto& matched_route = *request.matched_route;
    if (event.response_begun && matched_route.repeat != repeat_rule::resumable) {
        return false;
    }
    if (request.may_have_run && matched_route.repeat == repeat_rule::once) {
        return false;
    }
    if (request.sends >= matched_route.max_upstreams || request.unreachable > max_unreachable) {
        return false;
    }
    if (is_quarantined(request)) {
        return false;
    }
    if (event.fault == send_fault::recalled ||
        (event.fault == send_fault::unreachable && request.sends == 0)) {
        return true;
    }
    if (!budget(request.service).take(daemons(), now_)) {
        log("request.no_budget", request, "retry budget of " + request.service + " is used up");
        return false;
    }
    return true;
}

void request_router::give_up(routed_request& request, send_fault fault, bool response_begun)
{
    auto code = result_code::upstream_failed;
    if (response_begun) {
        code = result_code::answer_truncated;
        log("request.cut", request, std::string(to_string(fault)));
        actions_.emplace_back(abort_caller{request.number});
    } else if (fault == send_fault::failed_answer) {
        log("request.failure_passed", request, "after " + std::to_string(request.sends) + " sends");
        actions_.emplace_back(pass_failure{request.number});
    } else if (!request.may_have_run) {
        code = request.sends == 0 ? result_code::no_upstream : result_code::overloaded;
        log("request.refused", request,
            request.sends + request.unreachable == 0 ? "503 " + unsent_reason(request)
                                                     : "503 after " + std::string(to_string(fault)));
        actions_.emplace_back(respond_to_caller{request.number, 503, code, retry_after_for(request)});
    } else {
        code = fault == send_fault::bad_answer ? result_code::upstream_failed : result_code::upstream_lost;
        log("request.failed", request, "502 after " + std::string(to_string(fault)) + ", it may have run");
        actions_.emplace_back(respond_to_caller{request.number, 502, code, std::nullopt});
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
    request.response_begun = true;
    request.first_event_after = now_ - request.sent_at;
    begun(request);
    stream_began(request);
    placement_.first_event(request, now_);
    load_.prefill_done(request.upstream->id, request.prefill_tokens);
    request.prefill_tokens = 0;
    end_probe(request, probe_result::succeeded);
}

void request_router::on(const request_completed& event)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) {
        return;
    }
    auto& request = found->second;
    plain_may_have_begun(request);
    if (request.upstream && request.is_generation() && !event.upstream_failed && request.sends == 1) {
        placement_.ended_well(request, now_);
    }
    if (request.upstream) {
        if (event.upstream_failed) {
            health_.failed(request.upstream->id, now_);
        } else {
            health_.succeeded(request.upstream->id, now_);
            prompt_parts_.succeeded(request.prompt, now_);
            if (auto item = crashes_.ended_well(request.fingerprint, now_)) {
                publish_suspicion(std::move(*item));
            }
        }
        if (!request.is_generation()) {
            const auto known = service_time(request.service);
            service_times_[request.service] =
                known + (now_ - request.sent_at - known) / service_time_smoothing;
            slots_.succeeded(use_of(*request.upstream), now_);
        }
    }
    log("request.completed", request,
        "total_ms " + std::to_string(to_milliseconds(now_ - request.arrived)) + " first_ms " +
            std::to_string(to_milliseconds(request.first_event_after)) +
            (event.upstream_failed ? " upstream_failed" : ""));
    end_probe(request, event.upstream_failed ? probe_result::failed : probe_result::succeeded);
    const auto service = request.service;
    finish(request, event.upstream_failed ? result_code::upstream_failed : result_code::ok);
    slot_freed(service);
}

void request_router::on(const caller_left& event)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) {
        return;
    }
    auto& request = found->second;
    log("request.caller_left", request, describe_wait(request, now_));
    if (request.upstream) {
        plain_may_have_begun(request);
        actions_.emplace_back(stop_send{event.request});
    }
    finish(request, result_code::cancelled);
}

void request_router::begun(routed_request& request)
{
    const bool is_continuation = request.continues && request.can_be_resumed();
    if (std::exchange(request.is_counted, true) || is_continuation || request.workspace.empty()) {
        return;
    }
    actions_.emplace_back(count_usage{request.workspace});
}

void request_router::plain_may_have_begun(routed_request& request)
{
    if (!request.matched_route->is_stream) {
        begun(request);
    }
}

void request_router::release(routed_request& request)
{
    if (!request.upstream) {
        return;
    }
    end_probe(request, probe_result::unknown);
    load_.remove(request.upstream->id, request.prefill_tokens, request.short_gap);
    slots_.ended(request.upstream->id);
    request.prefill_tokens = 0;
    request.upstream = nullptr;
}

void request_router::finish(routed_request& request, result_code code)
{
    actions_.emplace_back(make_measure_request(request, code, now_));
    release(request);
    stop_waiting(request);
    end_search(request);
    timers_.cancel(request.timer);
    requests_.erase(request.number);
}

void request_router::refuse(request_number number, std::string_view id, int status, result_code code,
                            std::optional<duration> retry_after, std::string detail)
{
    actions_.emplace_back(log_decision{"request.refused", std::string(id), "",
                                       std::to_string(status) + " " + std::move(detail)});
    actions_.emplace_back(respond_to_caller{number, status, code, retry_after});
}

void request_router::log(std::string_view event, const routed_request& request, std::string detail)
{
    actions_.emplace_back(log_decision{std::string(event), request.id,
                                       request.upstream ? request.upstream->id : "", std::move(detail)});
}

} // namespace clementinegap
