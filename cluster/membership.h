#pragma once

#include "cluster/member.h"
#include "core/soft_state.h"
#include "core/time.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace clementinegap {

/// One row of the platform's lagging list.
struct listed_member {
    member_info info; ///< `leaving` is the platform's mark.
};

/// The members of the cluster as one daemon sees them. Items that members publish about themselves and each
/// other take precedence over the platform's lagging list. A suspicion or a leaving mark applies up to the
/// (incarnation, sequence) that it names, so a member cancels either by announcing itself again.
class membership {
public:
    /// Time in which a suspected member must refute the suspicion.
    static constexpr duration refutation_timeout = seconds(4);

    /// Applies a "member", "suspicion" or "leaving" item; returns whether a view changed.
    bool apply_item(const soft_item& item, time_point now);
    /// Applies the platform's list; returns whether a view changed.
    bool apply_list(std::span<const listed_member> list, time_point now);
    /// Marks members as dead whose suspicion was not refuted in time; returns whether a view changed.
    bool expire_suspicions(time_point now);
    /// Removes a member whose own item has expired, or its announcement if the platform still lists it.
    void remove(const std::string& vm);

    const member_view* find(const std::string& vm) const;
    const std::map<std::string, member_view>& members() const { return views_; }
    /// \returns members that the platform's list marks as leaving, by a mark that is newer than their
    /// incarnation.
    std::vector<std::string> listed_as_leaving() const;
    /// The fleet size for polling intervals; at least the number of listed members.
    std::size_t fleet_size() const;
    /// When `expire_suspicions` must be called next.
    time_point next_due() const;

private:
    struct stamp {
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        auto operator<=>(const stamp&) const = default;
    };
    struct observations {
        member_info announced;
        bool has_announced{false};
        stamp announced_stamp;
        stamp suspected_stamp;
        time_point suspected_since;
        stamp leaving_stamp;
        bool listed{false};
        bool listed_leaving{false};
        time_point leaving_listed_since;
        member_info listed_info;
    };

    bool update_view(const std::string& vm, time_point now);
    static bool is_marked_by_list(const observations& known);

    std::map<std::string, observations> observations_;
    std::map<std::string, member_view> views_;
};

} // namespace clementinegap
