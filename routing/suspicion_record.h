#pragma once

#include "core/soft_state.h"
#include "core/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// A request that is suspected of crashing upstreams.
struct suspicion {
    std::string fingerprint;
    std::uint32_t crashes{0}; ///< While it ran; 0: it has ended well since.
    duration age{0};          ///< Since the last of them, or since it ended well.
    bool operator==(const suspicion&) const = default;
};

/// The requests that this daemon suspects of crashing upstreams, in its own row of the platform's store. A
/// daemon that starts reads the rows of all daemons, so that suspicions survive the end of any of them, and
/// of all at the same time. Each daemon writes what it has observed itself, and only
/// crashes that one request explains: a crash costs one write for each daemon that lost a request to it.
class suspicion_record {
public:
    /// This daemon has observed or withdrawn a suspicion, as it tells the others.
    void observed(const soft_state_item& item, time_point now);
    /// Another daemon has told of a suspicion. Only a withdrawal concerns the own row.
    void received(const soft_state_item& item, time_point now);
    /// Marks an item as one that its daemon records, so that others tell it to daemons that start later.
    static void mark_recorded(soft_state_item& item) { item.value += recorded_mark; }
    /// Suspicions that other daemons have recorded.
    void heard(std::span<const suspicion> recorded, time_point now);
    /// What the rows of several daemons say together: the most crashes since a request has last ended well.
    /// The row of a daemon that was killed may hold suspicions that others have withdrawn since.
    static std::vector<suspicion> merge(std::span<const suspicion> recorded);
    /// The own row, as a former process of this daemon has written it. Nothing is written before it is known.
    void restore(std::span<const suspicion> recorded, time_point now);
    /// The requests that a daemon which has just started must be told of, with most crashes first.
    std::vector<std::string> to_tell(time_point now) const;
    /// The content of the row, if it is to be written now.
    std::optional<std::vector<suspicion>> due(time_point now);

private:
    /// Between two writes, and until a withdrawal is written.
    static constexpr duration min_write_interval = seconds(1);
    /// Some kilobytes, well below the limit of the store for a row. The oldest are dropped first.
    static constexpr std::size_t max_suspicions = 256;
    /// Some kilobytes, so that a report with them fits into a datagram.
    static constexpr std::size_t max_told = 64;
    static constexpr std::string_view recorded_mark = " recorded";

    struct observation {
        std::uint32_t crashes{0};
        time_point at;
        time_point expires_at;
    };

    void request_write(time_point at) { write_at_ = std::min(write_at_, at); }

    bool restored_{false};
    std::map<std::string, observation> observed_; ///< By fingerprint.
    std::map<std::string, observation> heard_;    ///< Recorded by others; by fingerprint.
    time_point write_at_{never};
    time_point written_at_{};
};

} // namespace clementinegap
