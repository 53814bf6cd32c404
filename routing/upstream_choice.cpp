#include "routing/upstream_choice.h"

#include "affinity/prefix_supply.h"
#include "core/digest.h"
#include "routing/scaled_duration.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace clementinegap {
namespace {

/// Prompt tokens whose prefill delays streams with short gaps noticeably; two chunks of an engine.
constexpr double full_disturbance_tokens = 4000;
/// Cost of a failed request to its caller, as an equivalent wait.
constexpr duration failure_cost = seconds(2);
/// Requests ahead of or behind a daemon's share of slots that count as one request per slot.
constexpr double assumed_share_range = 4;
/// Among engines whose costs differ by less, one with an idle connection is chosen: a new connection takes
/// time of its upstream.
constexpr duration new_connection_cost = milliseconds(10);
/// Load difference, in requests per slot, up to which an upstream in the own zone is preferred.
constexpr double zone_preference_requests = 1.0;

bool is_excluded(const upstream_record& upstream, const choice_view& view)
{
    return std::find(view.excluded.begin(), view.excluded.end(), upstream.id) != view.excluded.end() ||
           view.is_blocked(upstream.id) || !view.can_continue_at(upstream);
}

/// Calls `visit` for each usable upstream; for those that are avoided only if there is no other.
template <class visitor>
void for_each_usable(std::span<const upstream_ptr> upstreams, const choice_view& view, visitor&& visit)
{
    bool found = false;
    for (const bool avoided : {false, true}) {
        for (const auto& each : upstreams) {
            if (is_excluded(*each, view) || view.health.avoided(each->id, view.now) != avoided) {
                continue;
            }
            found = true;
            visit(each);
        }
        if (found) {
            return;
        }
    }
}

/// A copy between availability zones takes this many times as long as one within a zone.
constexpr double zone_copy_factor = 2;

/// How the engine gets the shared parts that it lacks.
prefix_supply supply_of(std::uint32_t missing, const upstream_record& engine, const upstream_load& load,
                        const part_source& source, const choice_view& view, const prefix_weights& weights)
{
    missing_prefix prefix{missing, load.in_flight, view.speed.prompt_tokens_per_ms};
    if (source.engine && source.engine->id != engine.id) {
        prefix.lacking_at_source = source.lacking;
        prefix.copied_tokens_per_ms =
            source.tokens_per_ms / (source.engine->zone == engine.zone ? 1 : zone_copy_factor);
    }
    return cheapest_prefix_supply(prefix, weights);
}

duration disturbance(const upstream_load& load, std::uint32_t tokens, const choice_view& view,
                     const prompt_affinity& weights)
{
    if (view.short_gap) {
        return duration::zero(); // Streams of one kind share their engines by design.
    }
    return scaled(weights.disturbance_cost * load.short_gaps,
                  std::min(1.0, tokens / full_disturbance_tokens));
}

using ranked_engine = std::pair<std::uint64_t, upstream_ptr>;

/// The usable engines, with the first `session_engines` of the session's rendezvous order in front.
std::vector<ranked_engine> in_rendezvous_order(std::span<const upstream_ptr> engines,
                                               const prompt_part* session, const choice_view& view,
                                               std::size_t session_engines)
{
    std::vector<ranked_engine> ranked;
    ranked.reserve(engines.size());
    for_each_usable(engines, view, [&](const upstream_ptr& each) {
        ranked.emplace_back(session == nullptr ? 0 : hash64(each->id, session->id), each);
    });
    if (session != nullptr) {
        const auto front =
            ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), session_engines));
        std::partial_sort(ranked.begin(), front, ranked.end(),
                          [](const auto& left, const auto& right) { return left.first > right.first; });
    }
    return ranked;
}

/// An engine with the cost of sending the request to it.
struct engine_candidate {
    upstream_choice choice;
    duration cost{duration::max()};
};

/// \param rank position of the engine in the session's rendezvous order.
engine_candidate evaluate_engine(const upstream_ptr& engine, std::size_t rank, const prompt_info& prompt,
                                 const choice_view& view, const prompt_affinity& weights,
                                 const part_source& source)
{
    const auto* session = prompt.session();
    const auto load = view.load.at(engine->id);
    const auto lacking = view.caches.missing_tokens(engine->id, prompt, view.now);
    const auto supply = supply_of(lacking, *engine, load, source, view, weights.prefix);
    // The owner is where the session is cached, so if no engine has the missing parts, reading them there
    // costs nothing extra.
    const bool is_owner = session == nullptr || rank == 0;
    const auto reread = is_owner ? 0U : std::min(session->tokens, supply.read);
    const auto to_read = prompt.own_tokens() + reread;
    const auto wait = view.speed.prefill_time(load.prefill_tokens);
    const auto beyond_slots = load.in_flight - std::min(load.in_flight, engine->slots - 1);
    const bool is_near = session == nullptr || rank < weights.session_engines || supply.copies;

    engine_candidate candidate;
    candidate.choice = {engine,
                        wait,
                        to_read,
                        reread,
                        supply.copies ? source.engine : nullptr,
                        load.prefill_tokens,
                        supply.read - reread};
    candidate.cost = wait + (is_owner && !supply.copies ? duration::zero() : supply.cost) +
                     weights.cost_per_stream * load.in_flight + weights.full_engine_cost * beyond_slots +
                     (is_near ? duration::zero() : weights.further_engine_cost) +
                     (engine->zone == view.zone ? duration::zero() : weights.other_zone_cost) +
                     (load.backoffs == 0 ? duration::zero() : weights.backoff_elsewhere_cost) +
                     disturbance(load, to_read, view, weights) +
                     (view.needs_connection(*engine) ? new_connection_cost : duration::zero()) +
                     scaled(failure_cost, view.health.failure_share(engine->id, view.now));
    return candidate;
}

} // namespace

upstream_choice choose_engine(std::span<const upstream_ptr> engines, const prompt_info& prompt,
                              const choice_view& view, const prompt_affinity& weights,
                              const part_source& source)
{
    const auto ranked = in_rendezvous_order(engines, prompt.session(), view, weights.session_engines);
    engine_candidate best;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        auto candidate = evaluate_engine(ranked[rank].second, rank, prompt, view, weights, source);
        if (candidate.cost < best.cost) {
            best = std::move(candidate);
        }
    }
    return best.choice;
}

upstream_choice choose_least_in_flight(std::span<const upstream_ptr> engines, const prompt_info& prompt,
                                       const choice_view& view)
{
    upstream_choice best;
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for_each_usable(engines, view, [&](const upstream_ptr& each) {
        const auto in_flight = view.load.at(each->id).in_flight;
        if (in_flight < std::min(least, each->slots)) {
            least = in_flight;
            best = {each, duration::zero(), prompt.own_tokens(), 0, nullptr};
        }
    });
    return best;
}

upstream_choice choose_plain(std::span<const upstream_ptr> upstreams, duration service_time,
                             const choice_view& view)
{
    upstream_choice best;
    upstream_choice best_sound; // Among those that lose few requests and can take it within its objective.
    double best_cost = std::numeric_limits<double>::max();
    double best_sound_cost = best_cost;
    for_each_usable(upstreams, view, [&](const upstream_ptr& each) {
        const double slots = std::max(each->slots, 1U);
        const auto load = view.load.at(each->id);
        const double in_flight = load.in_flight;
        const bool near = each->zone == view.zone;
        const double backoff_elsewhere = load.backoffs == 0 ? 0 : 1;
        // An upstream that rejected lately counts as full. Reports are older than its requests take, so it is
        // compared by what this daemon sent it.
        const auto ahead =
            view.gate == nullptr ? std::nullopt : view.gate->ahead_of_share(each->id, view.now);
        const double load_cost = ahead ? std::max(0.0, 1 + *ahead / assumed_share_range)
                                       : (in_flight + (near ? 0 : zone_preference_requests)) / slots;
        const double cost = load_cost + backoff_elsewhere + view.health.failure_share(*each, view.now);
        if (cost >= best_cost && cost >= best_sound_cost) {
            return;
        }
        const double waiting = std::max(0.0, in_flight + 1 - slots);
        const upstream_choice choice{each, scaled(service_time, waiting / slots), 0, 0, nullptr};
        if (cost < best_cost) {
            best_cost = cost;
            best = choice;
        }
        if (view.runs_once && cost < best_sound_cost && !view.health.loses_requests(*each, view.now) &&
            choice.expected_wait + service_time <= view.objective_left) {
            best_sound_cost = cost;
            best_sound = choice;
        }
    });
    return best_sound.upstream ? best_sound : best;
}

} // namespace clementinegap
