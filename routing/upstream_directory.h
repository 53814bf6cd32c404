#pragma once

#include "availability/ended_processes.h"
#include "routing/leaving_upstreams.h"
#include "routing/upstream_record.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

using upstream_ptr = std::shared_ptr<const upstream_record>;

/// The upstreams that may receive new work, by service, as listed in the platform's directory. An entry that
/// disappears during a disturbance of the directory may have expired by mistake and is kept for
/// `restore_grace` after the directory's recovery. Otherwise a missing entry means that the upstream was
/// removed.
class upstream_directory {
public:
    /// The platform restores expired entries within about two seconds of its recovery.
    static constexpr duration restore_grace = milliseconds(2200);

    /// An entry was written.
    /// \returns whether the record changed.
    bool put(upstream_record record);
    /// An entry was removed.
    void erase(std::string_view id, time_point now);
    /// Applies a full listing: entries that are not among `ids` are removed.
    /// \returns those that are gone for good.
    std::vector<upstream_ptr> retain(std::span<const std::string> ids, time_point now);
    /// Whether this incarnation of the upstream was removed a while ago. A directory that comes back from an
    /// older copy lists it again.
    bool was_removed(const upstream_record& upstream) const;
    /// Whether the record lacks the incarnation that its upstream had before. Another writer wrote it: it
    /// says neither that the upstream is usable nor that its process has been replaced.
    bool lacks_incarnation(const upstream_record& record) const;
    /// The directory could not be read. Entries removed from now until `restore_grace` after its recovery may
    /// be restored.
    void directory_lost() { lost_ = true; }
    void directory_returned(time_point now);
    /// An upstream announced to this daemon or another one that it is leaving.
    /// \returns whether the notice is new.
    bool add_leave_notice(const leave_notice& value, time_point now);
    bool is_leaving(const upstream_record& upstream) const
    {
        return leaving_.contains(upstream.id, upstream.incarnation);
    }
    /// For the reports to other daemons.
    std::vector<leave_notice> listed_leave_notices() const { return leaving_.of_listed(); }
    /// A connection to the upstream was refused.
    /// \returns whether its process was not known to have ended.
    bool connection_refused(const upstream_record& upstream, time_point now)
    {
        return ended_.refused(upstream.id, upstream.incarnation, now);
    }
    /// Another daemon states that a process has ended.
    /// \returns whether that was not known.
    bool add_ended_process(const ended_process& statement, time_point now)
    {
        return ended_.heard(statement, now);
    }
    /// For the reports to other daemons.
    std::vector<ended_process> ended_processes_seen(time_point now) const { return ended_.statements(now); }
    /// Removes entries whose grace period has ended.
    /// \returns them.
    std::vector<upstream_ptr> expire(time_point now);

    /// Upstreams of `service` that are not leaving according to their entry or a notice and whose process has
    /// not ended, ordered by id.
    std::vector<upstream_ptr> usable(std::string_view service, time_point now) const;
    /// All upstreams, leaving ones among them.
    std::vector<upstream_ptr> all() const;
    /// nullptr for an id that is not listed.
    upstream_ptr find(std::string_view id) const;
    std::size_t size() const { return upstreams_.size(); }
    /// Whether an entry that is removed now may have expired because of a disturbance of the directory.
    bool may_be_restored(time_point now) const { return lost_ || now < restore_grace_ends_; }

private:
    /// How long removed upstreams are remembered; older than any copy from which the directory may come back.
    static constexpr duration removal_memory = seconds(120);
    static constexpr std::size_t max_removed = 4096;

    struct removal {
        std::int64_t incarnation{0};
        time_point at;
    };
    struct listing {
        upstream_ptr record;
        time_point drop_at{never};
    };
    std::map<std::string, listing, std::less<>> upstreams_;
    std::map<std::string, removal, std::less<>> removed_;
    leaving_upstreams leaving_;
    ended_processes ended_;
    bool lost_{false};
    time_point restore_grace_ends_{};
};

} // namespace clementinegap
