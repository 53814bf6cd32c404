#pragma once

#include "core/time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace clementinegap {

/// Id of an availability zone in reports: a hash of its name.
std::uint32_t zone_number(std::string_view zone);

/// A daemon's ability to serve rows of the platform's tables, as included in its reports.
struct relay_status {
    std::uint32_t zone{0};              ///< See `zone_number`.
    std::uint16_t link_mbps{0};         ///< Daemons with more bandwidth are preferred.
    bool serves{false};                 ///< The daemon reads the store itself, and the store responds.
    std::uint64_t directory_version{0}; ///< Version of the newest directory row that it has.
    std::uint64_t era{0};               ///< Of `directory_version`.
    /// How long ago the store last answered a call of this daemon for the configuration, and one for the
    /// directory. Nothing: not yet.
    std::optional<duration> configuration_age{};
    std::optional<duration> directory_age{};
    bool operator==(const relay_status&) const = default;
};

/// Decides where this daemon reads the platform's tables: from the store, or from a relay, a daemon of its
/// zone that reads the store. Each zone has a few relays, so the load of the store grows with the number of
/// zones and not of daemons. A daemon whose relay fails, or lags behind the versions that other daemons
/// report, reads the store again at once. A daemon that the store rejects reads from any relay. The class has
/// no side effects: it is notified of reports and failures.
class row_source {
public:
    /// Daemons of a zone that read the store. There are two because either may be stopped or disconnected at
    /// any time.
    static constexpr std::size_t relays_per_zone = 2;
    /// Number of tables that are followed.
    static constexpr std::size_t readers = 3;
    /// A single broken connection does not count as a failure of the store; its calls must fail for this
    /// long.
    static constexpr duration store_failure_timeout = milliseconds(1200);
    /// A relay keeps serving its rows for this long after the store fails. Its readers detect when they lag.
    static constexpr duration serving_grace = milliseconds(700);
    /// Time for which a failed source is not used.
    static constexpr duration avoidance_time = seconds(5);
    /// After the first report a daemon waits this long for further reports, since it does not yet know which
    /// daemons are relays.
    static constexpr duration settling_time = milliseconds(1500);
    /// How long other daemons may have newer directory rows than this daemon: the batch delay of the store's
    /// readers plus a report interval.
    static constexpr duration max_lag = milliseconds(900);
    /// A call that waits for a change is taken as lost after other daemons have had a newer row for this
    /// long. Longer than the batch delay of the store's readers.
    static constexpr duration max_wait_lag = milliseconds(400);

    /// \param own status of this daemon; its zone and bandwidth do not change.
    /// \param prefer_relays whether relays are used while the store responds, or only when it does not.
    row_source(std::string daemon, const relay_status& own, bool prefer_relays);

    /// \param valid_for how long the report is valid.
    void on_report(const std::string& daemon, const relay_status& status, duration valid_for, time_point now);
    /// The relay in use did not respond, or has no rows.
    void relay_failed(const std::string& daemon, time_point now);
    /// \param reader index of the table; each table has its own connection.
    void store_failed(std::size_t reader, time_point now);
    void store_succeeded(std::size_t reader);
    /// Whether this daemon can serve its rows to others: it reads all tables from the store, or did so less
    /// than `serving_grace` ago.
    bool may_serve(time_point now) const;
    /// Records which directory rows this daemon has.
    /// \param version of the newest row.
    /// \param complete_to the version of the store up to which no row is missing.
    void directory_read(std::uint64_t version, std::uint64_t complete_to, std::uint64_t era, time_point now);
    /// Whether this daemon has all directory rows that another one had when it sent this status.
    bool has_rows_of(const relay_status& other) const
    {
        return std::pair(other.era, other.directory_version) <= complete_to_;
    }
    /// Whether a call that waits for a directory change should have been answered by now.
    bool is_overdue(time_point now) const
    {
        return behind_since_ != never && now - behind_since_ > max_wait_lag;
    }
    /// Number of daemons that read the store and precede this one in a ranking by `subject`.
    std::size_t rank_among_readers(std::uint64_t subject, time_point now) const;

    /// The daemon to read from; empty: the store.
    const std::string& choose(time_point now);

private:
    struct peer {
        relay_status status;
        time_point valid_until;
        time_point avoided_until{};
    };

    using rank_value = std::tuple<int, std::uint64_t, std::string_view>;
    /// Ordering of the daemons of a zone. All daemons that receive the same reports compute the same
    /// ordering.
    static rank_value rank(const relay_status& status, std::string_view name);
    /// Whether fewer than `relays_per_zone` other daemons of the zone precede this rank.
    bool is_first(const rank_value& rank, time_point now) const;
    bool is_relay(time_point now) const { return is_first(rank(own_, daemon_), now); }
    time_point failing_since() const { return *std::ranges::min_element(failing_since_); }
    /// Whether another daemon has reported newer directory rows.
    bool is_behind() const;
    bool is_lagging(time_point now) const;
    bool is_settling(time_point now) const;
    /// Empty if no daemon serves rows.
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
    /// Era and version of the newest directory row that any daemon has reported.
    std::pair<std::uint64_t, std::uint64_t> newest_known_{};
    /// Era and version up to which no directory row is missing here.
    std::pair<std::uint64_t, std::uint64_t> complete_to_{};
    time_point behind_since_{never};
};

} // namespace clementinegap
