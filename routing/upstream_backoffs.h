#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Outcome of a probe, a send to an upstream after its backoff.
enum class probe_result : std::uint8_t {
    succeeded, ///< The upstream has begun a successful response.
    failed,    ///< It refused again or did not respond.
    unknown,   ///< The send was cancelled for another reason.
};

/// Upstreams that refused a request and asked this daemon to back off. Nothing is sent to them until the
/// backoff ends. Then the load is ramped up: one probe at first, and twice as many after each successful one,
/// until the upstream is unrestricted. This keeps all waiting requests from arriving at once at an upstream
/// that was full.
///
/// A backoff survives a restart of the upstream under the same id, since the directory may show the restart
/// after the new process has asked for the backoff.
class upstream_backoffs {
public:
    /// \param max_backoff upper bound of a backoff, whatever an upstream requests.
    explicit upstream_backoffs(duration max_backoff) : max_backoff_(max_backoff) {}

    /// The upstream asked to receive nothing for `span`.
    /// \returns the backoff that is applied; zero: none.
    duration start(std::string_view upstream, duration span, time_point now);
    /// Whether nothing may be sent to the upstream now.
    bool is_blocked(std::string_view upstream, time_point now) const;
    /// Estimated time at which a blocked upstream accepts a request; nothing if it is not blocked.
    std::optional<time_point> available_at(std::string_view upstream, time_point now) const;
    /// Records a send to an upstream that is not blocked.
    /// \returns whether the send is a probe, the outcome of which must be passed to `probe_ended`.
    bool sent(std::string_view upstream);
    void probe_ended(std::string_view upstream, probe_result how, time_point now);
    /// Upstreams whose backoff has not ended.
    std::vector<std::string> in_backoff(time_point now) const;
    void expire(time_point now);
    std::size_t size() const { return states_.size(); }

private:
    /// Number of concurrent probes from which an upstream is unrestricted.
    static constexpr std::uint32_t unrestricted_from = 16;
    /// Interval at which an upstream with outstanding probes is checked again; about the time of a response.
    static constexpr duration probe_timeout = milliseconds(100);
    /// State of an upstream that was not used for this long after its backoff is removed, since its overload
    /// is over.
    static constexpr duration idle_lifetime = seconds(10);

    struct state {
        time_point ends;
        std::uint32_t allowed{1}; ///< Concurrent probes allowed once the backoff has ended.
        std::uint32_t probes{0};
        time_point last_use;
    };
    duration max_backoff_;
    std::map<std::string, state, std::less<>> states_;
};

} // namespace clementinegap
