#pragma once

#include "affinity/prefix_supply.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <variant>

namespace clementinegap {

/// Sends generations to engines that are expected to have their shared prompt parts cached, separates streams
/// with short gaps from long prompts, and refuses requests that cannot complete in time. The weights are
/// trade-offs between the costs of an engine; docs/measurements/platform.md has the figures behind the
/// defaults.
struct prompt_affinity {
    /// Number of engines, the first in rendezvous order, that a session may use without extra cost. With one,
    /// a loaded owner is left for any engine and the session's prompt is read all over the fleet; with two,
    /// the second engine takes what the first cannot.
    std::size_t session_engines{4};
    /// Cost of placing a session on a further engine, in addition to reading its prompt there: the parts are
    /// read again and evict others from that engine's cache.
    duration further_engine_cost{milliseconds(400)};
    /// How reading missing parts and copying them are weighed against waiting at an engine that has them.
    prefix_weights prefix;
    /// Time that a running stream adds to each token of the others, over a response of usual length.
    duration cost_per_stream{microseconds(1500)};
    /// Cost of reading a prompt between the tokens of streams that tolerate the shortest gaps, per such
    /// stream, since most of them are then late. Such streams can still be running on an engine that has
    /// moved to another section.
    duration disturbance_cost{milliseconds(100)};
    /// Cost of an engine that asked another daemon to back off and is therefore probably full; about the time
    /// to a first event there.
    duration backoff_elsewhere_cost{milliseconds(400)};
    /// Cost of an engine in another availability zone: a few times the latency between zones, so that an
    /// engine is passed over only for one that is nearly as good.
    duration other_zone_cost{milliseconds(15)};
    /// Wait per request beyond an engine's slots; about the time in which one of its streams ends.
    duration full_engine_cost{milliseconds(40)};
};

/// The baseline that measurements compare with: it chooses the engine with the fewest requests in flight,
/// regardless of its cache, and refuses a request if every engine is full.
struct least_in_flight {};

/// The rule by which generations are placed.
using placement_rule = std::variant<prompt_affinity, least_in_flight>;

/// Names of the rules in settings and plans, in the order of the variant.
inline constexpr std::array<std::string_view, 2> placement_rule_names = {"prompt_affinity",
                                                                         "least_in_flight"};

/// The rule of a name in `placement_rule_names`, with default weights.
inline placement_rule placement_rule_named(std::string_view name)
{
    return name == placement_rule_names[1] ? placement_rule(least_in_flight{})
                                           : placement_rule(prompt_affinity{});
}

} // namespace clementinegap
