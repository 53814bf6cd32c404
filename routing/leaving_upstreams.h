#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// One run of an upstream's process that is leaving.
struct leave_notice {
    std::string upstream;
    std::int64_t incarnation{0}; ///< As in its directory entry.
    bool operator==(const leave_notice&) const = default;
};

/// The upstreams that said in an answer that they are leaving, to this daemon or to another. What the
/// directory says meanwhile does not take it back: its entries lag, and a leaving upstream may never change
/// its own. A departure ends when the directory shows another start of the upstream. After the entry is gone
/// it is remembered for a while, since entries lapse by mistake and return unchanged.
class leaving_upstreams {
public:
    /// \param is_listed whether the directory lists this run of the upstream. Returns whether it is news.
    bool add(const leave_notice& value, bool is_listed, time_point now);
    bool contains(std::string_view upstream, std::int64_t incarnation) const;
    /// The directory lists this run of the upstream, and none before it any more.
    void listed(std::string_view upstream, std::int64_t incarnation);
    /// The directory lists the upstream no more.
    void unlisted(std::string_view upstream, time_point now);
    /// Those of listed upstreams, for the reports to other daemons.
    std::vector<leave_notice> of_listed() const;
    void expire(time_point now);
    std::size_t size() const { return size_; }

private:
    /// Longer than any outage after which the platform restores lapsed entries.
    static constexpr duration retention = seconds(120);
    /// Bounds what other daemons' reports can fill; far above the upstreams that leave within `retention`.
    static constexpr std::size_t max_entries = 4096;

    struct run {
        std::int64_t incarnation{0};
        time_point forget_at{never}; ///< `never` while the directory lists this run.
    };
    const run* find(std::string_view upstream, std::int64_t incarnation) const;

    /// By upstream: a late answer of an earlier run must not displace what is known of the present one.
    std::map<std::string, std::vector<run>, std::less<>> known_;
    std::size_t size_{0};
};

} // namespace clementinegap
