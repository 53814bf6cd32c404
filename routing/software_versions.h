#pragma once

#include "core/time.h"
#include "routing/stream_origin.h"
#include "routing/upstream_directory.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// The software versions under which the upstreams of each service have been listed lately, and whether what
/// is listed of an upstream still holds.
class software_versions {
public:
    /// To be called with every listed upstream several times a second, and when one is listed.
    void listed(const upstream_record& upstream, time_point now);
    /// The directory can be read from now on. Before, upstreams may have come and gone unseen: this daemon
    /// has just started, was suspended, or could not read it.
    void begin_to_watch(time_point now) { watching_since_ = now; }
    bool is_watching() const { return watching_since_ != never; }
    void stop_watching() { watching_since_ = never; }
    /// The directory has shown all changes until this time.
    void directory_confirmed(time_point at);
    /// This process was suspended: until the directory is confirmed again, upstreams may have started again
    /// unseen.
    void resumed(time_point now);
    /// The process of an upstream has ended. The next one at its address may have another version, and may
    /// take requests before the directory shows it.
    void process_ended(std::string_view upstream, std::int64_t incarnation, time_point now);
    void expire(time_point now);

    /// The version of the process that answers for this upstream; empty if it is not known.
    std::string_view certain_version(const upstream_record& upstream, time_point now) const;
    /// Whether the upstream can go on with a stream of this origin.
    bool can_continue(const upstream_record& upstream, const stream_origin& origin, time_point now) const
    {
        return !origin.software_version.empty() && upstream.service == origin.service &&
               certain_version(upstream, now) == origin.software_version;
    }
    /// The versions of the service that were listed in the last `span`.
    std::vector<std::string> seen(std::string_view service, duration span, time_point now) const;
    /// Whether this daemon has watched for so long, so that there were no others.
    bool has_watched(duration span, time_point now) const
    {
        return span <= memory && watching_since_ != never && now - watching_since_ >= span &&
               now - confirmed_at_ <= max_unconfirmed;
    }

private:
    /// Longer than it takes until an upstream that has started again is listed.
    static constexpr duration doubt = seconds(5);
    /// Changes of the last moments may be unknown: the directory is confirmed every second or two in a large
    /// fleet. A daemon that does not hear of it for longer cannot tell which versions there are.
    static constexpr duration max_unconfirmed = milliseconds(2500);
    /// An upstream may have come and gone unseen during a longer time without confirmation.
    static constexpr duration max_unwatched = seconds(5);
    /// For how long versions are remembered; nothing is claimed about a longer span.
    static constexpr duration memory = minutes(5);

    struct ended_process {
        std::int64_t incarnation{0};
        time_point at;
    };

    std::map<std::string, std::map<std::string, time_point>, std::less<>>
        last_listed_;                                         ///< By service, version.
    std::map<std::string, ended_process, std::less<>> ended_; ///< By upstream.
    time_point watching_since_{never};
    time_point confirmed_at_{};
    time_point resumed_at_{};
};

} // namespace clementinegap
