#pragma once

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

/// \file
/// The order in which an upstream daemon gives out slots.

namespace clementinegap {

/// One queued reservation as the order sees it; `id` is the owner's.
struct queued_work {
    std::uint64_t id{0};
    std::uint8_t tier{0};
    std::string workspace;
    double weight{1};
    std::string class_name;
    time_point arrived;
    time_point target_at;   ///< When the first-token target is missed.
    time_point deadline_at; ///< When the work is worthless.
    duration starvation_bound{0};
};

/// First come, first served; the baseline.
class fifo_order {
public:
    void push(queued_work work);
    bool erase(std::uint64_t id);
    std::optional<queued_work> pop(time_point now);
    std::size_t size() const { return queue_.size(); }

private:
    std::deque<queued_work> queue_;
};

/// Strict tiers; inside a tier the work whose target is nearest comes first.
class tiered_order {
public:
    void push(queued_work work);
    bool erase(std::uint64_t id);
    std::optional<queued_work> pop(time_point now);
    std::size_t size() const { return queue_.size(); }

private:
    using rank = std::tuple<std::uint8_t, time_point, std::uint64_t>;
    static rank rank_of(const queued_work& work) { return {work.tier, work.target_at, work.id}; }

    std::map<rank, queued_work> queue_;
    std::map<std::uint64_t, rank> ranks_;
};

using work_order = std::variant<fifo_order, tiered_order>;

} // namespace clementinegap
