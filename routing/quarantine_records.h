#pragma once

#include "core/time.h"
#include "routing/change_turns.h"
#include "routing/prompt_part_quarantine.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace clementinegap {

/// Decides which daemon writes the quarantined prompt parts to the platform's store, so that they survive the
/// loss of all daemons. Each record is written and removed by one daemon, or by the next one in a ranking by
/// part if the record does not change. A record that the store has lost is written again.
class quarantine_records {
public:
    struct changes {
        std::vector<quarantined_part> write;
        std::vector<std::uint64_t> remove;
    };

    explicit quarantine_records(std::string daemon) : turns_(std::move(daemon), turn) {}

    /// All records of the store.
    void listed(std::span<const std::uint64_t> parts);
    void written(std::uint64_t part) { recorded_.insert(part); }
    void removed(std::uint64_t part) { recorded_.erase(part); }

    /// \param others the other daemons that are alive.
    changes due(std::span<const quarantined_part> quarantined, std::span<const std::string> others,
                time_point now);

private:
    /// The other daemons read these rows in batches.
    static constexpr duration turn = seconds(5);

    change_turns turns_;
    bool listed_{false};
    std::set<std::uint64_t> recorded_;
};

} // namespace clementinegap
