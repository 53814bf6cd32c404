#pragma once

#include "core/time.h"
#include "policy/fair_queue.h"
#include "policy/queued_work.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

/// \file
/// The queues that decide in which order an upstream daemon grants slots.

namespace clementinegap {

/// First come, first served; the baseline for comparisons.
class fifo_queue {
public:
    void push(queued_work work);
    bool erase(std::uint64_t id);
    std::optional<queued_work> pop(time_point now);
    std::size_t size() const { return queue_.size(); }

private:
    std::deque<queued_work> queue_;
};

/// Strict priority between tiers. Within a tier the class whose next work has the earliest target is served
/// first, but work that can still meet its target precedes work that cannot, since serving late work first
/// would make all work late. Within a class the workspaces share by weight (`fair_queue`).
class tiered_queue {
public:
    void push(queued_work work);
    bool erase(std::uint64_t id);
    std::optional<queued_work> pop(time_point now);
    /// Removes and returns the next work of one class, regardless of its tier.
    std::optional<queued_work> pop_class(const std::string& class_name, time_point now);
    std::size_t size() const { return locations_.size(); }

    /// \returns the tier of the work that `pop` would return.
    std::optional<std::uint8_t> highest_tier() const;
    /// \returns the number of items of `tier` and of the tiers above it.
    std::size_t size_up_to(std::uint8_t tier) const;
    /// \returns the least urgent work that may be refused, of the lowest tier that has any; nullptr without
    /// one.
    const queued_work* least_urgent() const;
    /// \returns the class that exceeds its starvation threshold by the longest time, if any.
    std::optional<std::string> starving_class(time_point now) const;

    /// Charges a workspace for tokens that its work produced.
    void charge(const queued_work& work, double tokens);
    /// Sets the expected time between a grant and the first token; work with less time left is late.
    void set_first_token_time(duration value) { first_token_time_ = value; }

private:
    struct location {
        std::uint8_t tier{0};
        std::string class_name;
    };
    /// Empty classes keep the service counters of their workspaces, up to a bound.
    struct tier_queue {
        std::map<std::string, fair_queue> classes;
        std::map<std::string, fair_queue*> waiting; ///< The classes that have queued work.
        std::size_t size{0};                        ///< Queued work of all classes.
    };

    static fair_queue* choose(const tier_queue& from, time_point horizon);
    fair_queue& class_queue(std::uint8_t tier, const std::string& class_name);
    std::optional<queued_work> take(std::uint8_t tier, fair_queue& from, time_point now);
    void removed(std::uint8_t tier, const std::string& class_name);

    std::map<std::uint8_t, tier_queue> tiers_;
    std::unordered_map<std::uint64_t, location> locations_;
    duration first_token_time_{0};
};

using work_queue = std::variant<fifo_queue, tiered_queue>;

} // namespace clementinegap
