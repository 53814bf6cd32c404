#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// A notice that one incarnation of an upstream is leaving.
struct leave_notice {
    std::string upstream;
    std::int64_t incarnation{0}; ///< As in its directory entry; 0: its entry names none.
    bool operator==(const leave_notice&) const = default;
};

/// The upstreams that announced in a response, to this daemon or to another one, that they are leaving. The
/// directory does not revoke a notice, because its entries lag and a leaving upstream may never update its
/// own entry. A notice ends when the directory lists another incarnation of the upstream. After the entry is
/// removed the notice is kept for `retention`, since entries can expire by mistake and return unchanged.
class leaving_upstreams {
public:
    /// \param is_listed whether the directory lists this incarnation of the upstream.
    /// \returns whether the notice is new.
    bool add(const leave_notice& value, bool is_listed, time_point now);
    /// \param incarnation 0 if its entry does not name one: any that is leaving may be meant.
    bool contains(std::string_view upstream, std::int64_t incarnation) const;
    /// The directory lists this incarnation of the upstream, and no earlier one.
    void listed(std::string_view upstream, std::int64_t incarnation);
    /// The directory no longer lists the upstream.
    void unlisted(std::string_view upstream, time_point now);
    /// Notices of listed upstreams, for the reports to other daemons.
    std::vector<leave_notice> of_listed() const;
    void expire(time_point now);
    std::size_t size() const { return size_; }

private:
    /// Longer than any outage after which the platform restores expired entries.
    static constexpr duration retention = seconds(120);
    /// Limits the memory that other daemons' reports can use. It is far above the number of upstreams that
    /// leave within `retention`.
    static constexpr std::size_t max_entries = 4096;

    struct run {
        std::int64_t incarnation{0};
        time_point forget_at{never}; ///< `never` while the directory lists this incarnation.
    };
    const run* find(std::string_view upstream, std::int64_t incarnation) const;

    /// Keyed by upstream. Each holds several incarnations, so that a late response of an earlier one does not
    /// replace the notice of the current one.
    std::map<std::string, std::vector<run>, std::less<>> known_;
    std::size_t size_{0};
};

} // namespace clementinegap
