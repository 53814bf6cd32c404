#include "routing/generation_placement.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

namespace clementinegap {
namespace {

/// Step tolerance of generations whose route limits no gap.
constexpr duration default_step_tolerance = seconds(10);
/// Part of an engine's memory whose use the daemons know; the rest is for the outputs that exceed their
/// estimates, for lost reports and for memory blocks that are partly used. An engine whose cache is
/// overestimated reads parts again that could have been copied, which costs more than a needless copy.
constexpr std::uint64_t known_memory_percent = 70;
/// Keeps a report within a datagram.
constexpr std::size_t max_reported_placements = 40;
/// One in this many reports contains engine speeds: every few seconds in a large fleet, more than once a
/// second in a small one.
constexpr std::uint64_t reports_per_speed_update = 8;
/// Prompt tokens that an engine reads between two tokens of its streams; usual for chunked prefill.
constexpr std::uint64_t chunk_tokens = 2048;
/// Measured speeds above this part of the assumed one do not change which kinds share engines: the estimate
/// varies with the load by less.
constexpr double slow_engine_share = 0.67;

} // namespace

void generation_placement::set_configuration(const route_table& table)
{
    urgency_scales_.clear();
    for (const auto& [name, each] : table.services()) {
        urgency_scales_.emplace(name, urgency_scale::of_service(table, name));
    }
    configured_kinds_.clear();
    for (const route& matched_route : table.streams()) {
        const auto* target = table.find_service(matched_route.targets.front().service);
        configured_kinds_.push_back({step_tolerance(matched_route, target), 0, 0, matched_route.priority});
    }
    const auto [least, most] =
        std::ranges::minmax_element(configured_kinds_, {}, &stream_demand::step_tolerance);
    const bool differ = least != most && least->step_tolerance < most->step_tolerance;
    shortest_gap_ = differ ? std::optional(least->step_tolerance) : std::nullopt;
}

void generation_placement::update(const route_table& table, const upstream_directory& directory,
                                  std::vector<stream_demand> demands_of_others, time_point now)
{
    auto demands = std::move(demands_of_others);
    const auto own = demand_.demands(now);
    demands.insert(demands.end(), own.begin(), own.end());
    demands.insert(demands.end(), configured_kinds_.begin(), configured_kinds_.end());
    for (const auto& [name, each] : table.services()) {
        if (each.engine) {
            caches_.set_capacity(each.engine->memory_tokens * known_memory_percent / 100);
            partitions_[name].update(directory.usable(name, now), demands, chunk_step(name));
        }
    }
}

duration generation_placement::chunk_step(std::string_view service) const
{
    // A constant as long as the engines are not far slower, so that all daemons choose the same sections.
    const auto measured = speed(service);
    const bool is_slow =
        measured.prompt_tokens_per_ms < assumed_speed_.prompt_tokens_per_ms * slow_engine_share;
    const auto& used = is_slow ? measured : assumed_speed_;
    return used.prefill_time(chunk_tokens) + assumed_speed_.token;
}

duration generation_placement::step_tolerance(const route& matched_route, const service* target)
{
    if (target == nullptr || !target->engine || matched_route.max_gap == duration::zero()) {
        return default_step_tolerance;
    }
    return matched_route.max_gap / std::max(1U, target->engine->tokens_per_event);
}

void generation_placement::count_demand(const routed_request& request, time_point now)
{
    const auto* target = request.table->find_service(request.service);
    const std::int64_t slots = target != nullptr && target->engine ? target->engine->slots : 1;
    // The steps of an engine are shared by all its slots.
    const auto known = speed(request.service);
    const auto engine_time =
        known.prefill_time(request.prompt.own_tokens()) +
        known.token * request.prompt.expected_output() / std::max<std::int64_t>(1, slots);
    demand_.on_request(request.step_tolerance, request.matched_route->priority, engine_time, now);
}

upstream_choice generation_placement::choose(const routed_request& request, const choice_view& view) const
{
    return std::visit([&](const auto& rule) { return choose_by(rule, request, view); }, rule_);
}

upstream_choice generation_placement::choose_by(const least_in_flight& /*rule*/,
                                                const routed_request& request, const choice_view& view) const
{
    const auto* engines = partition(request.service);
    return engines == nullptr ? upstream_choice{}
                              : choose_least_in_flight(engines->engines(), request.prompt, view);
}

upstream_choice generation_placement::choose_by(const prompt_affinity& weights, const routed_request& request,
                                                const choice_view& view) const
{
    const auto* engines = partition(request.service);
    if (engines == nullptr) {
        return {};
    }
    const auto source = source_of(request, view);
    const auto best =
        choose_engine(engines->engines_for(request.step_tolerance), request.prompt, view, weights, source);
    const auto max_wait = request.matched_route->objective / 2;
    if (best.upstream && best.expected_wait <= max_wait) {
        return best;
    }
    // The own section is full: an engine of more tolerant streams may start sooner, at the risk of gaps.
    const auto overflow = choose_engine(engines->more_tolerant_engines(request.step_tolerance),
                                        request.prompt, view, weights, source);
    if (overflow.upstream && (!best.upstream || overflow.expected_wait + max_wait < best.expected_wait)) {
        return overflow;
    }
    return best.upstream ? best : choose_engine(engines->engines(), request.prompt, view, weights, source);
}

part_source generation_placement::source_of(const routed_request& request, const choice_view& view) const
{
    const auto* target = request.table->find_service(request.service);
    const double rate = target != nullptr && target->engine ? target->engine->copied_tokens_per_ms : 0;
    if (rate <= 0) {
        return {};
    }
    const auto engines = partition(request.service)->engines();
    for (const auto& holder : caches_.holders(request.prompt, view.now)) {
        const auto found =
            std::ranges::find(engines, holder, [](const upstream_ptr& each) { return each->id; });
        if (found != engines.end() && !view.health.avoided(holder, view.now) && view.may_copy_from(holder)) {
            return {*found, caches_.missing_tokens(holder, request.prompt, view.now), rate};
        }
    }
    return {};
}

duration generation_placement::time_needed(const routed_request& request, const upstream_choice& choice) const
{
    if (std::holds_alternative<least_in_flight>(rule_)) {
        return duration::zero(); // The baseline refuses only if all engines are full.
    }
    return generation_times_.expected_time(request.service, request.step_tolerance,
                                           expected_start(request, choice), request.prompt.expected_output());
}

duration generation_placement::expected_start(const routed_request& request,
                                              const upstream_choice& choice) const
{
    return choice.expected_wait + speed(request.service).prefill_time(choice.prefill_tokens);
}

engine_speed generation_placement::speed(std::string_view service) const
{
    const auto found = speeds_.find(service);
    return found == speeds_.end() ? assumed_speed_ : found->second.value();
}

std::vector<service_speed> generation_placement::take_speeds()
{
    std::vector<service_speed> result;
    if (reports_++ % reports_per_speed_update != 0) {
        return result;
    }
    for (const auto& [service, estimate] : speeds_) {
        result.push_back({service, estimate.value()});
    }
    return result;
}

void generation_placement::merge_speeds(std::span<const service_speed> speeds)
{
    for (const auto& each : speeds) {
        estimate(each.service).merge_remote(each.speed);
    }
}

engine_speed_estimate& generation_placement::estimate(const std::string& service)
{
    return speeds_.try_emplace(service, assumed_speed_).first->second;
}

std::uint8_t generation_placement::urgency(const routed_request& request, std::uint32_t prefill_tokens) const
{
    const auto found = urgency_scales_.find(request.service);
    return found == urgency_scales_.end() ? 0 : found->second.urgency(request.priority, prefill_tokens);
}

void generation_placement::sent(const routed_request& request, time_point now)
{
    const auto expected =
        request.expected_start + speed(request.service).prefill_time(request.sent_choice.first_read);
    const auto ready_in =
        generation_times_.expected_time(request.service, request.step_tolerance, expected, 0);
    const memory_use use{request.upstream->id,
                         request.prompt.own_tokens() + request.prompt.expected_output()};
    caches_.used(use, now);
    unreported_memory_[use.upstream] += use.tokens;
    for (const auto& part : request.prompt.shared_parts()) {
        part_placement placement{request.upstream->id, part.id, part.tokens, ready_in};
        caches_.placed(placement, now);
        if (unreported_.size() < max_reported_placements) {
            unreported_.push_back(std::move(placement));
        }
    }
}

void generation_placement::first_event(const routed_request& request, time_point now)
{
    caches_.was_read(request.upstream->id, request.prompt.shared_parts(), now);
}

void generation_placement::not_run(const routed_request& request, time_point now)
{
    caches_.forget_unread(request.upstream->id, request.prompt.shared_parts(), now);
}

void generation_placement::ended_well(const routed_request& request, time_point now)
{
    // Shared parts may be cached without this daemon's knowledge, while the request's own tokens are always
    // read, so only sends without shared prefill are measured.
    const auto& sent = request.sent_choice;
    if (sent.reread_tokens == 0 && sent.first_read == 0 && sent.copy_from == nullptr &&
        sent.tokens_ahead <= sent.prefill_tokens) {
        estimate(request.service)
            .stream_ended({sent.prefill_tokens + sent.tokens_ahead, request.first_event_after,
                           now - request.sent_at - request.first_event_after,
                           request.prompt.expected_output()});
    }
    generation_times_.stream_ended(
        request.service, request.step_tolerance, request.expected_start, request.first_event_after,
        now - request.sent_at - request.first_event_after, request.prompt.expected_output());
}

void generation_placement::placed_by_other(std::span<const part_placement> placements, time_point now)
{
    for (const auto& each : placements) {
        caches_.placed(each, now);
    }
}

std::vector<part_placement> generation_placement::take_placements()
{
    return std::exchange(unreported_, {});
}

void generation_placement::memory_used_by_others(std::span<const memory_use> uses, time_point now)
{
    for (const auto& each : uses) {
        caches_.used(each, now);
    }
}

std::vector<memory_use> generation_placement::take_memory_uses()
{
    std::vector<memory_use> result;
    for (const auto& [upstream, tokens] : unreported_memory_) {
        result.push_back({upstream, tokens});
    }
    // What is left adds up, so that it is among the largest later.
    const auto count = std::min(result.size(), max_reported_placements);
    std::ranges::partial_sort(result, result.begin() + static_cast<std::ptrdiff_t>(count), std::greater{},
                              &memory_use::tokens);
    result.resize(count);
    for (const auto& each : result) {
        unreported_memory_.erase(each.upstream);
    }
    return result;
}

const engine_partition* generation_placement::partition(std::string_view service) const
{
    const auto found = partitions_.find(service);
    return found == partitions_.end() ? nullptr : &found->second;
}

} // namespace clementinegap
