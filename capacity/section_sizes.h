#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace clementinegap {

/// Demand of the streams that share one section of a service's engines, in engine seconds per second.
struct section_demand {
    double work{0};          ///< Averaged over a few seconds.
    double recent_work{0};   ///< Averaged over the last second.
    std::uint8_t urgency{0}; ///< Of the most urgent stream; 0 is the highest.
};

/// Load: kinds of streams whose demand rises and falls within seconds share the engines of a service.
///
/// Divides the engines among sections. While the engines suffice for the demand of the last few seconds, each
/// section gets a part in proportion to it. If they do not, the demand of the last second counts instead,
/// since engines that are reserved for a burst that has ended would be missing elsewhere. If they do not
/// suffice for that either, the more urgent sections get what they need first.
///
/// \param engines there must be at least as many as sections.
/// \returns the size of each section in engines, at least one.
std::vector<double> section_sizes(std::span<const section_demand> demands, std::size_t engines);

} // namespace clementinegap
