#pragma once

#include "duties/duty_row.h"
#include "duties/usage_duty_events.h"
#include "duties/usage_statement.h"
#include "leases/fencing.h"
#include "leases/lease.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// What this daemon knows of the duty's row, and whether it holds the duty's lease. The row's version that is
/// known, and since when, decides on a take-over, so no clocks of different daemons are compared.
class duty_tenure {
public:
    duty_tenure(std::string daemon, duration term);

    /// The duty starts to be observed: an absent row is known from here on.
    void start(time_point now);
    /// Another daemon states the newest row that it knows.
    void heard(const duty_statement& statement, time_point now);
    /// A write of this daemon was refused, which tells the row.
    /// \returns the row; a failure if it is malformed. Then nothing is written until `malformed_row_pause`
    /// later.
    outcome<std::optional<duty_row>> conflicted(const row_conflict& event, time_point now);
    /// Whether the row of the last conflict is older than one known before, as after a restore of the store.
    bool is_row_older() const { return is_row_older_; }
    /// Whether this process wrote the newest row that it ever knew.
    bool is_newest_own() const { return is_newest_own_; }
    /// A write of this daemon took effect. \returns the row, or nothing if the attempt is no longer known or
    /// the store came back from a copy meanwhile: versions may come again there, so the write may have
    /// replaced any row.
    std::optional<duty_row> written(const row_written& event, time_point now);

    /// Whether the lease is held, or its row was written last by this process, or the same version has been
    /// known for the whole term.
    bool may_write(time_point now) const { return now >= may_write_at(); }
    time_point may_write_at() const;
    struct attempt {
        std::uint64_t expected_version{0};
        duty_row row;
    };
    /// Makes the row to write: a renewal while the lease is held, else an acquisition with a token above all
    /// that are known. Requires `may_write`. The write expects no row, and thereby reads it, if only the
    /// version of the row is known.
    attempt try_write(std::uint64_t step, duty_row content, std::int64_t unix_ms, time_point now);

    /// Whether a call may be sent in the name of the holder: the lease lasts for a while and no greater token
    /// is known.
    bool may_send(time_point now);
    /// When a call that is sent now must be aborted.
    time_point send_deadline(time_point now) const;
    bool holds(time_point now) const { return known_.is_own && lease_.number(now).has_value(); }
    /// Since when the newest row is known.
    time_point known_since() const { return known_.since; }
    /// Whether the newest row known was written by this process.
    bool is_own() const { return known_.is_own; }
    /// The token of the lease; 0: none is held.
    std::uint64_t own_token(time_point now) const { return holds(now) ? *lease_.number(now) : 0; }

    /// The newest token known; 0: none.
    std::uint64_t token() const { return tokens_.highest(); }
    /// The newest row known, without `sent`.
    const duty_statement& newest() const { return newest_; }

private:
    struct known_row {
        std::uint64_t version{0};
        std::string holder;
        std::uint64_t token{0};
        std::optional<std::string> value; ///< Nothing: known from a statement only.
        time_point since;
        bool is_own{false};
        bool is_malformed{false};
    };
    /// A write whose result is not known.
    struct open_attempt {
        std::uint64_t step{0};
        lease state;
        time_point requested_at;
        duty_row row;
        std::string value;
    };
    bool is_own_attempt(const duty_statement& statement) const;
    void learn(known_row row);
    bool is_new_era(std::uint64_t era);
    duty_row granted(std::size_t index, std::uint64_t version, time_point now);

    std::string daemon_;
    duration term_;
    lease lease_;
    time_point lease_ends_;
    fencing_guard tokens_;
    known_row known_;
    duty_statement newest_;
    bool is_newest_own_{false};
    std::uint64_t era_{0};
    bool is_row_older_{false};
    std::uint64_t last_tried_{0};
    std::vector<open_attempt> attempts_;
};

} // namespace clementinegap
