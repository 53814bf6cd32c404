#pragma once

#include "core/time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace clementinegap {

/// How reports name an availability zone: by a hash of its name.
std::uint32_t zone_number(std::string_view zone);

/// What a daemon's report says of the rows that it can give to others.
struct relay_status {
    std::uint32_t zone{0};              ///< See `zone_number`.
    std::uint16_t link_mbps{0};         ///< Daemons with wide links are asked first.
    bool serves{false};                 ///< It reads the store itself, and the store answers it.
    std::uint64_t directory_version{0}; ///< Of the newest row of the directory that it has.
    bool operator==(const relay_status&) const = default;
};

/// Decides where this daemon reads the platform's tables: from the store itself, or from a daemon of its zone
/// that does. In each zone a few daemons, the relays, read the store; so its load grows with the zones and
/// not with the daemons. A daemon whose relay fails, or lags behind what other daemons know, reads the store
/// again at once; one that the store turns away reads from any relay. Pure: it is told of reports and
/// failures.
class row_source {
public:
    /// Daemons of a zone that read the store: one may be stopped or cut off at any time.
    static constexpr std::size_t relays_per_zone = 2;
    /// Tables that are followed.
    static constexpr std::size_t readers = 3;
    /// The store is not left for a connection that broke, but when its calls fail for this long.
    static constexpr duration store_failure_timeout = milliseconds(1200);
    /// A relay goes on giving the rows that it has for this long; its readers notice when they lag.
    static constexpr duration serving_grace = milliseconds(700);
    /// How long a source that failed is left alone.
    static constexpr duration avoidance_time = seconds(5);
    /// A daemon that has just heard of the first others does not know yet who the relays are.
    static constexpr duration settling_time = milliseconds(1500);
    /// How long others may know more of the directory than this daemon: the pause in which the readers of
    /// the store gather changes, and a report's interval.
    static constexpr duration max_lag = milliseconds(900);

    /// \param own what this daemon offers; its zone and link stay as they are.
    /// \param usual whether relays are read while the store answers, or only when it does not.
    row_source(std::string daemon, const relay_status& own, bool prefer_relays);

    /// \param valid_for how long the report counts.
    void on_report(const std::string& daemon, const relay_status& status, duration valid_for, time_point now);
    /// The daemon that is read from did not answer, or has no rows.
    void relay_failed(const std::string& daemon, time_point now);
    /// \param reader of the tables, which each have a connection of their own.
    void store_failed(std::size_t reader, time_point now);
    void store_succeeded(std::size_t reader);
    /// Whether what this daemon reads from the store can be given to others: it reads all tables, or did so a
    /// moment ago.
    bool may_serve(time_point now) const;
    /// The newest row of the directory that this daemon has.
    void directory_read(std::uint64_t version, time_point now);

    /// The daemon to read from; empty: the store.
    const std::string& choose(time_point now);

private:
    struct peer {
        relay_status status;
        time_point valid_until;
        time_point avoided_until{};
    };

    using rank_value = std::tuple<int, std::uint64_t, std::string_view>;
    /// Every daemon of the zone counts alike who goes before whom, as far as it hears the same daemons.
    static rank_value rank(const relay_status& status, std::string_view name);
    /// Whether fewer than `relays_per_zone` others of its zone go before this rank.
    bool is_first(const rank_value& rank, time_point now) const;
    bool is_relay(time_point now) const { return is_first(rank(own_, daemon_), now); }
    time_point failing_since() const { return *std::ranges::min_element(failing_since_); }
    bool is_lagging(time_point now) const;
    bool is_settling(time_point now) const;
    /// Empty when no daemon gives rows.
    std::string best_relay(bool any_zone, time_point now) const;
    bool usable(const peer& candidate, time_point now) const;

    std::string daemon_;
    relay_status own_;
    bool prefer_relays_;
    std::map<std::string, peer> peers_;
    std::string current_;
    time_point first_report_at_{never};
    std::array<time_point, readers> failing_since_{never, never, never};
    time_point store_avoided_until_{};
    time_point relays_avoided_until_{};
    std::uint64_t known_version_{0}; ///< Of the directory, to any daemon.
    time_point behind_since_{never};
};

} // namespace clementinegap
