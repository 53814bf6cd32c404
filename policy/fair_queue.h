#pragma once

#include "core/time.h"
#include "policy/queued_work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace clementinegap {

/// The queued work of one class, shared between workspaces by weight. Each workspace has a service counter
/// of the tokens it was charged over its weight, and the one with the least goes next: weighted deficit round
/// robin for work whose cost becomes known only while it is produced. A workspace that was idle starts at the
/// level of those that were not, so that it saves nothing up. Every operation takes logarithmic time.
class fair_queue {
public:
    void push(queued_work work, time_point now);
    bool erase(std::uint64_t id);
    /// Takes the next work. Of one workspace's, a run whose next slice is due goes first, then work with a
    /// target after `horizon`, other runs, and last the work whose target is missed.
    std::optional<queued_work> pop(time_point horizon, time_point now);
    /// What `pop` would take; nullptr when empty.
    const queued_work* peek(time_point horizon);
    /// Refusable work of the most-served workspace with the latest target; nullptr without one.
    const queued_work* last() const;
    void charge(const std::string& workspace, double weight, double tokens);

    std::size_t size() const { return ranks_.size(); }
    /// When the class was last served, or began to wait.
    time_point unserved_since() const { return unserved_since_; }
    duration starvation_bound() const { return starvation_bound_; }

private:
    using rank = std::pair<time_point, std::uint64_t>;
    using service_rank = std::pair<double, std::string>;

    struct flow {
        double service{0};
        bool late{false}; ///< Known to hold no work that can still meet its target.
        std::map<rank, queued_work> queue;
        std::map<rank, queued_work> set_aside; ///< Runs that wait for their next slice.
        bool empty() const { return queue.empty() && set_aside.empty(); }
    };
    struct position {
        std::string workspace;
        rank at;
    };

    flow& flow_of(const std::string& workspace);
    std::set<service_rank>& set_of(const flow& value);
    void leave_sets(const std::string& workspace, const flow& value);
    void join_set(const std::string& workspace, const flow& value);
    flow* next_flow(time_point horizon);
    static const queued_work& head_of(const flow& source, time_point horizon);
    void forget_idle();

    std::map<std::string, flow> flows_;
    std::set<service_rank> fresh_;
    std::set<service_rank> late_;
    std::set<service_rank> idle_;
    std::set<std::pair<time_point, std::uint64_t>> refusable_;
    std::unordered_map<std::uint64_t, position> ranks_;
    double floor_{0};
    time_point unserved_since_{};
    duration starvation_bound_{0};
};

} // namespace clementinegap
