#pragma once

#include "routing/load_tracker.h"
#include "routing/upstream_directory.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Divides the engines of a service between streams that tolerate different times for a token. A long prompt
/// is read in chunks between the tokens of the other requests of its engine, so streams with short gaps are
/// kept away from long prompts. Each kind gets engines in proportion to its demand, one at least; when there
/// are too few for all, the more urgent kinds get what they need first.
///
/// The engines stand in an order that depends on their ids only, tight streams take theirs from its start.
/// Daemons that see about the same demand therefore choose about the same engines without an agreement;
/// where they differ, an engine is shared for a moment and nothing breaks.
class engine_partition {
public:
    /// A kind's part of the order of engines.
    struct section {
        duration step_tolerance{0};
        std::size_t first{0};
        std::size_t count{0};
    };

    /// \param demands of all daemons; kinds may occur several times.
    void update(std::vector<upstream_ptr> engines, std::span<const stream_demand> demands);

    /// Engines in their order.
    std::span<const upstream_ptr> engines() const { return engines_; }
    /// The engines for streams of this tolerance; all of them for a kind that has no section yet.
    std::span<const upstream_ptr> engines_for(duration step_tolerance) const;
    /// The engines for streams that tolerate more than this; empty for the most tolerant kind.
    std::span<const upstream_ptr> more_tolerant_engines(duration step_tolerance) const;
    std::span<const section> sections() const { return sections_; }

private:
    /// A section changes size only when the demand calls for this many engines more or less, so that small
    /// differences between daemons and moments move no cached prompts.
    static constexpr double hysteresis = 0.75;

    std::vector<upstream_ptr> engines_;
    std::vector<section> sections_;
};

} // namespace clementinegap
