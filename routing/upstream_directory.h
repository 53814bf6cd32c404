#pragma once

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

/// The upstreams that may get new work, by service. Follows the platform's directory. An entry that
/// disappears while the directory was disturbed may have lapsed by mistake: it is kept for
/// `restore_grace` after the directory's return. Otherwise a missing entry has left.
class upstream_directory {
public:
    /// The platform restores lapsed entries within about two seconds of its return.
    static constexpr duration restore_grace = milliseconds(2200);

    /// An entry was written. Returns whether what is known of the upstream changed.
    bool put(upstream_record record);
    /// An entry is gone.
    void erase(std::string_view id, time_point now);
    /// A full listing: whatever is not among `ids` is gone.
    void retain(std::span<const std::string> ids, time_point now);
    /// The directory could not be read; what is erased from now until shortly after its return is in doubt.
    void directory_lost() { lost_ = true; }
    void directory_returned(time_point now);
    /// An upstream told this daemon or another that it is leaving. Returns whether it is news.
    bool add_leave_notice(const leave_notice& value, time_point now);
    bool is_leaving(const upstream_record& upstream) const
    {
        return leaving_.contains(upstream.id, upstream.incarnation);
    }
    /// For the reports to other daemons.
    std::vector<leave_notice> listed_leave_notices() const { return leaving_.of_listed(); }
    /// Drops entries in doubt whose grace has ended.
    void expire(time_point now);

    /// Upstreams of `service` that are not leaving by their entry or their own word, ordered by id.
    std::vector<upstream_ptr> usable(std::string_view service, time_point now) const;
    /// nullptr for an id that is not listed.
    upstream_ptr find(std::string_view id) const;
    std::size_t size() const { return upstreams_.size(); }

private:
    struct listing {
        upstream_ptr record;
        time_point drop_at{never};
    };
    bool may_be_restored(time_point now) const { return lost_ || now < restore_grace_ends_; }

    std::map<std::string, listing, std::less<>> upstreams_;
    leaving_upstreams leaving_;
    bool lost_{false};
    time_point restore_grace_ends_{};
};

} // namespace clementinegap
