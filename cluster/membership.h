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
    member_info info; ///< `leaving` is the platform's word.
};

/// Who is there, as one daemon sees it: what members say of themselves and of each other goes before the
/// platform's lagging list. A suspicion or a leaving mark stands against exactly the (incarnation, sequence)
/// that it names, so a member ends either by stating itself anew.
class membership {
public:
    /// How long a suspected member has to refute.
    static constexpr duration refutation_time = seconds(4);

    /// Takes a "member", "suspicion" or "leaving" item; true when a view changed.
    bool take(const soft_state_item& item, time_point now);
    /// Takes the platform's list; true when a view changed.
    bool take_list(std::span<const listed_member> list, time_point now);
    /// Turns suspicions that were not refuted in time into deaths; true when a view changed.
    bool advance(time_point now);
    /// Forgets members whose own item has expired and that the platform no longer lists.
    void forget(const std::string& vm);

    const member_view* find(const std::string& vm) const;
    const std::map<std::string, member_view>& members() const { return views_; }
    /// Members that the platform's list marks as leaving, the mark being younger than their incarnation.
    std::vector<std::string> listed_as_leaving() const;
    /// The size of the fleet for polling: never less than what the list names.
    std::size_t fleet_size() const;
    /// When `advance` has work.
    time_point next_due() const;

private:
    struct stamp {
        std::uint64_t incarnation{0};
        std::uint64_t sequence{0};
        auto operator<=>(const stamp&) const = default;
    };
    struct evidence {
        member_info stated;
        bool has_stated{false};
        stamp stated_at;
        stamp suspected_at;
        time_point suspected_since;
        stamp leaving_at;
        bool listed{false};
        bool listed_leaving{false};
        time_point leaving_listed_since;
        member_info listed_info;
    };

    bool update(const std::string& vm, time_point now);
    static bool is_marked_by_list(const evidence& known);

    std::map<std::string, evidence> evidence_;
    std::map<std::string, member_view> views_;
};

} // namespace clementinegap
