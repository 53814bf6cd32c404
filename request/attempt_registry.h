#pragma once

#include "request/upstream_context.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// The attempts of an upstream daemon, by the id that entries use and by the daemon's own number, and a
/// bounded history of the ones that have ended.
class attempt_registry {
public:
    explicit attempt_registry(std::size_t max_remembered) : max_remembered_(max_remembered) {}

    /// Makes an attempt with the next number, without adding it.
    upstream_attempt_ptr make();
    void add(const upstream_attempt_ptr& attempt);
    /// Removes an ended attempt and stores its execution state.
    void erase(const upstream_attempt& attempt, ran_state ran);
    void remember(attempt_id attempt, ran_state ran);

    /// \returns nullptr if there is none.
    upstream_attempt_ptr find(attempt_id attempt) const;
    upstream_attempt_ptr find_run(run_id run) const;
    /// Whether the attempt is open or remembered.
    bool is_known(attempt_id attempt) const
    {
        return attempts_.contains(attempt) || ended_.contains(attempt);
    }
    /// The execution state of an ended attempt; nullopt when it is not stored.
    std::optional<ran_state> ended_state(attempt_id attempt) const;
    bool empty() const { return attempts_.empty(); }

    /// The attempts that fulfil the condition, in the order of their ids.
    template <class Condition> std::vector<upstream_attempt_ptr> where(const Condition& fulfilled) const
    {
        std::vector<upstream_attempt_ptr> result;
        for (const auto& [id, attempt] : attempts_) {
            if (std::invoke(fulfilled, *attempt)) {
                result.push_back(attempt);
            }
        }
        return result;
    }
    template <class Condition> bool any_of(const Condition& fulfilled) const
    {
        return std::ranges::any_of(attempts_, [&](const auto& item) { return fulfilled(*item.second); });
    }

private:
    std::size_t max_remembered_;
    std::uint64_t last_number_{0};
    std::map<attempt_id, upstream_attempt_ptr> attempts_;
    std::unordered_map<run_id, upstream_attempt_ptr> runs_;
    std::map<attempt_id, ran_state> ended_;
    std::deque<attempt_id> ended_order_;
};

} // namespace clementinegap
