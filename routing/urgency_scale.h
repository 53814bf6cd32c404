#pragma once

#include "core/time.h"
#include "routing/request_priority.h"
#include "routing/route_table.h"

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Maps the priorities of generations to the few urgencies that engines know. An engine that runs out of
/// slots or memory preempts the newest of its least urgent requests, so the map never gives a request the
/// same or a higher urgency than one of a more urgent priority, as long as there are urgencies enough. What
/// is left of them orders the requests of one priority by size, since long prompts delay short ones more than
/// the other way round.
class urgency_scale {
public:
    /// Engines know the urgencies 0 (the first) to 9.
    static constexpr std::size_t levels = 10;

    urgency_scale() = default;
    /// \param objectives by each priority in use: the longest objective of its routes, which is a measure of
    /// the size of their prompts.
    explicit urgency_scale(const std::map<request_priority, duration>& objectives);

    /// The scale for the generations of a service, from the priorities that the configuration has.
    static urgency_scale of_service(const route_table& table, std::string_view service);

    /// \param prefill_tokens prompt tokens that the engine has to read.
    std::uint8_t urgency(const request_priority& priority, std::uint32_t prefill_tokens) const;

private:
    struct band {
        request_priority priority;
        std::size_t first{0}; ///< Its most urgent level.
        std::size_t count{1}; ///< Number of its levels, for as many sizes.
    };

    std::vector<band> bands_; ///< By priority.
};

} // namespace clementinegap
