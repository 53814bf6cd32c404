#pragma once

#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinegap {

/// The lease on one engine's orders, as the row in the table holds it. The fencing number grows with every
/// acquisition and is never used again, so an order under an old number can be told.
struct lease_row {
    std::string holder; ///< Unique to one acquisition attempt; empty when released.
    std::uint64_t number{0};
    std::int64_t expires_unix_ms{0};
    bool operator==(const lease_row&) const = default;
};

std::string to_row(const lease_row& row);
/// A value of another form reads as a failure, never as a free lease.
outcome<lease_row> lease_from_row(std::string_view value);

/// One holder's view of a lease. It asks for table operations and takes their answers; what it may do rests
/// on the time at which it asked, not on when the answer came, so a pause makes it hold for less time, not
/// more.
class lease {
public:
    lease(std::string holder, duration term) : holder_(std::move(holder)), term_(term) {}

    /// The row that takes the lease over `present`, if it is free, lapsed or its own; `revision` is that of
    /// the row that was read, 0 when it is absent.
    std::optional<lease_row> acquire(const std::optional<lease_row>& present, time_point now);
    /// The row that prolongs it; nothing when it has lapsed, which needs `acquire` and a new number.
    std::optional<lease_row> prolong(time_point now);
    /// The change asked for last took effect.
    void granted();
    /// It did not, or the table holds another row.
    void lost();
    /// The answer to the last change was lost: `present` is the row that was read back.
    void read_back(const std::optional<lease_row>& present);

    /// The fencing number to order under, while the lease holds.
    std::optional<std::uint64_t> number(time_point now) const;

private:
    std::string holder_;
    duration term_;
    std::optional<lease_row> held_;
    std::optional<lease_row> asked_;
};

} // namespace clementinegap
