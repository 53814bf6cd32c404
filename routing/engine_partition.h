#pragma once

#include "routing/load_tracker.h"
#include "routing/upstream_directory.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Partitions the engines of a service by the token gap that streams tolerate. A long prompt is read in
/// chunks between the tokens of the other requests on its engine, so streams with short gaps are kept away
/// from long prompts. Kinds that tolerate a chunk with each token share a section: what one of them does not
/// use is there for the others at once, and fewer boundaries move. `section_sizes` divides the engines among
/// the sections.
///
/// Engines are ordered by a hash of their ids, and the sections follow that order by rising tolerance.
/// Daemons that see similar demand therefore choose similar sections without coordination. Where they differ,
/// an engine is shared for a short time, which is harmless.
class engine_partition {
public:
    /// The contiguous range of engines that kinds of streams use.
    struct section {
        duration least_tolerance{0}; ///< Step tolerance of its least tolerant kind.
        duration most_tolerance{0};
        std::size_t first{0};
        std::size_t count{0};
    };

    /// \param demands of all daemons; a kind may occur several times.
    /// \param shares_from step tolerance from which a kind shares its section with the more tolerant ones;
    /// the kind with the shortest gaps never does.
    void update(std::vector<upstream_ptr> engines, std::span<const stream_demand> demands,
                duration shares_from = duration::max());

    /// All engines in partition order.
    std::span<const upstream_ptr> engines() const { return engines_; }
    /// The engines for streams of this tolerance; all engines for a kind without a section.
    std::span<const upstream_ptr> engines_for(duration step_tolerance) const;
    /// The engines for streams that tolerate longer gaps; empty for the most tolerant kind.
    std::span<const upstream_ptr> more_tolerant_engines(duration step_tolerance) const;
    std::span<const section> sections() const { return sections_; }

private:
    /// A section is resized only if the demand changes by at least this many engines, so that small
    /// differences between daemons or over time do not invalidate cached prompts.
    static constexpr double hysteresis = 0.75;

    std::vector<upstream_ptr> engines_;
    std::vector<section> sections_;
};

} // namespace clementinegap
