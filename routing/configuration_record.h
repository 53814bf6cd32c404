#pragma once

#include "core/time.h"
#include "routing/change_turns.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace clementinegap {

/// Decides when this daemon records the configuration in force in the platform's store, beside the operator's
/// row. The store may come back from a copy that is older than a configuration in force; until the operator
/// has written it again, only the daemons know it, and all of them may be lost. The record is removed once
/// the operator's row is as new.
class configuration_record {
public:
    enum class change : std::uint8_t { none, write, remove };

    explicit configuration_record(std::string daemon) : turns_(std::move(daemon), turn) {}

    /// The version of the operator's row was read; 0: there is none.
    void on_stored(std::uint64_t version);
    /// The operator's row cannot be read any more, or can be read again.
    void on_reachable(bool reachable);
    /// The version of the record was read; 0: there is none.
    void on_recorded(std::uint64_t version) { recorded_ = version; }

    /// Whether a change may be due, now or later.
    /// \param in_force the version of the configuration in force; 0: none.
    bool is_pending(std::uint64_t in_force) const
    {
        return reachable_ && stored_ && recorded_ && (in_force > *stored_ || *recorded_ > 0);
    }
    /// The change that this daemon is to make now.
    /// \param others the other daemons that are alive.
    change due(std::uint64_t in_force, std::span<const std::string> others, time_point now);

private:
    /// As short as a write and a batch of reads take: no other copy outlives the daemons.
    static constexpr duration turn = milliseconds(500);
    /// A peer may pass on a configuration before the store's feed delivers it.
    static constexpr duration feed_delay = seconds(1);

    change_turns turns_;
    std::optional<std::uint64_t> stored_;
    std::optional<std::uint64_t> recorded_;
    bool reachable_{true};
    bool is_older_copy_{false};     ///< The operator's row went back to an earlier version.
    time_point newer_since_{never}; ///< When the configuration in force became newer than the operator's row.
};

} // namespace clementinegap
