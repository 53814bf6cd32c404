#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// A daemon's statement that an upstream process has ended: a connection to it was refused.
struct ended_process {
    std::string upstream;
    std::int64_t incarnation{0}; ///< As in its directory entry.
    duration age{0};             ///< Since the connection was refused.
    bool operator==(const ended_process&) const = default;
};

/// The upstream processes that have ended although the directory still lists them, which it does for several
/// heartbeats after a crash. An ended process looks idle and attracts requests, so all daemons have to know
/// of it at once. This answers the load of many daemons whose upstreams crash together.
///
/// A refused connection is no certain proof, so the evidence expires unless it is renewed: then the daemons
/// that were refused try again first, and the others later.
class ended_processes {
public:
    /// A connection of this daemon was refused.
    /// \returns whether the process was not known to have ended.
    bool refused(std::string_view upstream, std::int64_t incarnation, time_point now);
    /// Another daemon stated it.
    /// \returns whether the process was not known to have ended.
    bool heard(const ended_process& statement, time_point now);
    /// The directory lists this incarnation of the upstream.
    void listed(std::string_view upstream, std::int64_t incarnation);
    bool contains(std::string_view upstream, std::int64_t incarnation, time_point now) const;
    /// This daemon's own evidence, for its reports.
    std::vector<ended_process> statements(time_point now) const;
    void expire(time_point now);
    std::size_t size() const { return known_.size(); }

private:
    /// A crashed process takes a second or more to start again.
    static constexpr duration own_lifetime = seconds(1);
    static constexpr duration heard_lifetime = seconds(2);
    /// Daemons that start meanwhile have to know that the listed process is not the one that runs there,
    /// which the directory may not show for a few seconds.
    static constexpr duration statement_lifetime = seconds(5);
    /// Limits the memory that other daemons' reports can use.
    static constexpr std::size_t max_entries = 4096;
    static constexpr std::size_t max_statements = 64;

    struct evidence {
        std::int64_t incarnation{0};
        time_point refused_at{}; ///< By this daemon; the epoch: never.
        time_point ends_at{};
    };
    /// \returns whether the process was not known to have ended.
    bool extend(std::string_view upstream, std::int64_t incarnation, time_point ends_at, time_point now);

    std::map<std::string, evidence, std::less<>> known_; ///< By upstream.
};

} // namespace clementinegap
