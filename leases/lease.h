#pragma once

#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinegap {

/// The lease on one engine's orders, as stored in its table row. The fencing number increases with every
/// acquisition and is never reused, so that stale orders can be detected.
struct lease_row {
    std::string holder; ///< Unique to one acquisition attempt; empty when released.
    std::uint64_t number{0};
    std::int64_t expires_unix_ms{0};
    bool operator==(const lease_row&) const = default;
};

std::string to_row(const lease_row& row);
/// \returns a failure if the value is malformed, never a free lease.
outcome<lease_row> lease_from_row(std::string_view value);

/// One holder's view of a lease. It produces the rows to write and processes the results of the writes. The
/// term starts when the write was requested, not when its result arrived, so a pause of the process shortens
/// the time for which the lease is held and never extends it.
class lease {
public:
    lease(std::string holder, duration term) : holder_(std::move(holder)), term_(term) {}

    /// \returns the row to write over `current` in order to acquire the lease, if it is free, expired or its
    /// own. \param current the row that was read; nothing when it is absent. \param lowest_number the number
    /// is at least this one.
    std::optional<lease_row> acquire(const std::optional<lease_row>& current, time_point now,
                                     std::uint64_t lowest_number = 0);
    /// \returns the row that renews the lease; nothing when it has expired, which requires `acquire` and a
    /// new number.
    std::optional<lease_row> renew(time_point now);
    /// The requested write took effect.
    void granted();
    /// The requested write failed, or the table holds another row.
    void lost();
    /// The result of the requested write is unknown; `current` is the row that was read afterwards.
    void read_back(const std::optional<lease_row>& current);

    /// \returns the fencing number for orders; nothing when the lease is not held at `now`.
    std::optional<std::uint64_t> number(time_point now) const;

private:
    std::string holder_;
    duration term_;
    std::optional<lease_row> held_;
    std::optional<lease_row> requested_;
};

} // namespace clementinegap
