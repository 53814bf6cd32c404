#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// What a daemon knows of the rate limit of an upstream.
struct limit_statement {
    std::string upstream;
    /// Incremented with every change that a daemon observes itself; the highest revision is the newest.
    std::uint32_t revision{0};
    std::optional<double> per_second; ///< Requests per second from all daemons together; nothing: no limit.
    bool operator==(const limit_statement&) const = default;
};

/// The rate limits that upstreams name in their responses, as observed by this daemon or reported by others.
/// A limit holds until a later response names another one or none.
///
/// Responses and reports can arrive out of order, so a stricter limit is accepted at once, a looser one only
/// in the response to a request that was sent after the current limit became known.
///
/// A limit survives a restart of the upstream under the same id, since the directory may show the restart
/// after the new process has named a limit.
class upstream_limits {
public:
    /// A response named a limit.
    /// \param sent_at when its request was sent.
    /// \param is_listed whether the directory lists the upstream.
    /// \returns whether the known limit has changed.
    bool named(std::string_view upstream, double per_second, time_point sent_at, bool is_listed,
               time_point now);
    /// A successful response named no limit.
    /// \returns whether a limit has ended.
    bool not_named(std::string_view upstream, time_point sent_at, time_point now);
    /// Another daemon reported a statement.
    /// \returns whether the known limit has changed.
    bool merge(const limit_statement& value, bool is_listed, time_point now);

    /// Requests per second; nothing: no limit is known.
    std::optional<double> at(std::string_view upstream) const;
    /// The upstreams with a limit, by id.
    std::map<std::string, double, std::less<>> current() const;
    /// The statements for the next report to the other daemons, limits that ended recently included: those
    /// that have changed recently, and some of the others in rotation. Only listed upstreams are reported;
    /// otherwise daemons would remind each other of those that are gone.
    std::vector<limit_statement> next_statements(time_point now);
    /// Changes whenever `current` does.
    std::uint64_t revision() const { return revision_; }

    void listed(std::string_view upstream);
    /// The directory no longer lists the upstream.
    void unlisted(std::string_view upstream, time_point now);
    void expire(time_point now);
    std::size_t size() const { return known_.size(); }

private:
    /// Longer than any outage after which the platform restores expired entries.
    static constexpr duration unlisted_retention = seconds(120);
    /// A statement that a limit has ended is kept until all daemons have received it, also those that were
    /// disconnected for some time.
    static constexpr duration ended_retention = seconds(30);
    /// Limits the memory that other daemons' reports can use. It is far above the number of upstreams.
    static constexpr std::size_t max_entries = 4096;

    /// A statement is contained in all reports for this long after a change; several reports of a large
    /// fleet.
    static constexpr duration announcement_time = seconds(5);
    /// Limits the size of a report and the time for reading it. The others follow in the next reports.
    static constexpr std::size_t repeated_statements = 16;

    struct entry {
        std::uint32_t revision{0};
        std::optional<double> per_second;
        time_point known_since;
        bool is_listed{true};
        time_point forget_at{never};
    };
    bool set(const limit_statement& value, bool is_listed, time_point now);

    std::map<std::string, entry, std::less<>> known_;
    std::string last_repeated_; ///< The last upstream in the rotation of `next_statements`.
    std::uint64_t revision_{0};
};

} // namespace clementinegap
