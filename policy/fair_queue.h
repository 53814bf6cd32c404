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

/// Weighted fair queue of the work of one class, shared between workspaces. Each workspace has a service
/// counter: the tokens it was charged divided by its weight. The workspace with the lowest counter is served
/// next. This is weighted deficit round robin for work whose cost becomes known only while it runs. A
/// workspace that was idle starts at the current virtual time, so that it accumulates no credit. Every
/// operation takes logarithmic time.
class fair_queue {
public:
    void push(queued_work work, time_point now);
    bool erase(std::uint64_t id);
    /// Removes and returns the next work. Within a workspace the order is: a preempted run whose next slice
    /// is due, work whose target is after `horizon`, other preempted runs, work that will miss its target.
    std::optional<queued_work> pop(time_point horizon, time_point now);
    /// \returns the work that `pop` would return; nullptr when empty.
    const queued_work* peek(time_point horizon);
    /// \returns the work with the latest target that may still be refused; nullptr without any.
    const queued_work* least_urgent() const;
    void charge(const std::string& workspace, double weight, double tokens);

    std::size_t size() const { return positions_.size(); }
    /// The time of the last grant, or of the first push into the empty queue if that is later.
    time_point unserved_since() const { return unserved_since_; }
    duration starvation_bound() const { return starvation_bound_; }

private:
    using queue_key = std::pair<time_point, std::uint64_t>;
    using service_key = std::pair<double, std::string>;

    struct flow {
        double service{0};
        bool all_late{false}; ///< No queued work can still meet its target.
        std::map<queue_key, queued_work> queue;
        std::map<queue_key, queued_work> preempted; ///< Runs that wait for their next slice.
        bool empty() const { return queue.empty() && preempted.empty(); }
    };
    struct location {
        std::string workspace;
        queue_key key;
    };

    flow& find_or_add_flow(const std::string& workspace);
    std::set<service_key>& containing_set(const flow& value);
    void remove_from_set(const std::string& workspace, const flow& value);
    void add_to_set(const std::string& workspace, const flow& value);
    flow* next_flow(time_point horizon);
    static const queued_work& head_of(const flow& source, time_point horizon);
    void evict_idle_flows();

    std::map<std::string, flow> flows_;
    std::set<service_key> on_time_;
    std::set<service_key> late_;
    std::set<service_key> idle_;
    std::set<std::pair<time_point, std::uint64_t>> refusable_;
    std::unordered_map<std::uint64_t, location> positions_;
    double virtual_time_{0};
    time_point unserved_since_{};
    duration starvation_bound_{0};
};

} // namespace clementinegap
