#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <variant>

namespace clementinegap {

/// Sends generations to the engines that are believed to hold their shared prompt parts, keeps streams with
/// short gaps apart from long prompts, and refuses what cannot end in time. The weights are what the choice
/// of an engine trades against each other; docs/measurements/platform.md has the figures behind the defaults.
struct prompt_affinity {
    /// Engines that a session may use freely, the first of its rendezvous order. With one, a loaded owner is
    /// left for any engine and the session's prompt is read all over the fleet; with two, the second takes
    /// what the first cannot.
    std::size_t session_engines{4};
    /// What it costs to bring a session to a further engine, besides reading its prompt there: it is read
    /// there again and displaces others from that cache.
    duration further_engine_cost{milliseconds(400)};
    /// Reading a part again delays others besides this request, so it weighs more than its own time.
    double reread_weight{4.0};
    /// What copying a part from another engine weighs against reading it there: a copy takes memory from
    /// other parts, and the links of both engines, so it must save more than a moment.
    double copy_weight{1.0};
    /// What a running stream adds to the time of each token, over an answer of usual length.
    duration cost_per_stream{microseconds(1500)};
    /// What it costs to read a prompt between the tokens of a stream that tolerates the shortest gaps, for
    /// each such stream: most of them are late then. Streams stay behind when their engine goes to another
    /// section.
    duration disturbance_cost{milliseconds(100)};
    /// An engine that asked another daemon for a pause is likely full; about a first event's time there.
    duration backoff_elsewhere_cost{milliseconds(400)};
    /// An engine of another availability zone: what its stream costs on the way there and back, a few times
    /// the latency between zones, so that only engines that are about as good stay unused for it.
    duration other_zone_cost{milliseconds(15)};
    /// What each request beyond an engine's slots waits for, about the time in which one of its streams ends.
    duration full_engine_cost{milliseconds(40)};
};

/// The simple baseline that measurements compare with: the engine with the least requests in flight, whatever
/// it has read before; a request for which every engine is full is refused.
struct least_in_flight {};

/// How generations are placed.
using placement_rule = std::variant<prompt_affinity, least_in_flight>;

/// The rules by the names that settings and plans use, in the order of the variant.
inline constexpr std::array<std::string_view, 2> placement_rule_names = {"prompt_affinity",
                                                                         "least_in_flight"};

/// The rule of a name out of `placement_rule_names`, with its usual weights.
inline placement_rule placement_rule_named(std::string_view name)
{
    return name == placement_rule_names[1] ? placement_rule(least_in_flight{})
                                           : placement_rule(prompt_affinity{});
}

} // namespace clementinegap
