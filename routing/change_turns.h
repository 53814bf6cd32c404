#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>

namespace clementinegap {

/// Chooses which daemon makes a change of the platform's store that each of them could make: the first one in
/// a ranking by subject, and the next one if the change has not been read back by the end of its turn. Spares
/// the store the same write by a whole fleet.
class change_turns {
public:
    /// \param turn time for a write to be read back by the other daemons.
    change_turns(std::string daemon, duration turn) : daemon_(std::move(daemon)), turn_(turn) {}

    /// Whether this daemon is to make the change now. If so, its next turn begins.
    /// \param others the other daemons that are alive.
    bool is_due(std::uint64_t subject, std::span<const std::string> others, time_point now);
    /// Forgets the changes that are not among `subjects`, since nobody needs to make them any more.
    void retain(const std::set<std::uint64_t>& subjects);

private:
    /// After this many daemons have not made the change, the next one does not wait longer.
    static constexpr std::size_t max_turns = 4;

    std::string daemon_;
    duration turn_;
    std::map<std::uint64_t, time_point> needed_since_; ///< By subject.
};

} // namespace clementinegap
