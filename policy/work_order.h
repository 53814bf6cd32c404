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
/// The order in which an upstream daemon gives out slots.

namespace clementinegap {

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

/// Strict tiers. Inside a tier the class whose next work has its target nearest goes first, but work that can
/// still meet its target goes before work that cannot, since serving late work first would make all late.
/// Inside a class the workspaces share by weight (`fair_queue`).
class tiered_order {
public:
    void push(queued_work work);
    bool erase(std::uint64_t id);
    std::optional<queued_work> pop(time_point now);
    /// Takes the next work of one class, whatever its tier.
    std::optional<queued_work> pop_class(const std::string& class_name, time_point now);
    std::size_t size() const { return places_.size(); }

    /// The tier of the work that `pop` would give.
    std::optional<std::uint8_t> first_tier() const;
    /// Work of `tier` and of the tiers above.
    std::size_t size_to(std::uint8_t tier) const;
    /// The least urgent work of the lowest tier that may be refused; nullptr without one.
    const queued_work* last() const;
    /// The class that has gone unserved past its bound for the longest time.
    std::optional<std::string> starving_class(time_point now) const;

    /// Charges a workspace for tokens that its work produced.
    void charge(const queued_work& work, double tokens);
    /// Time that passes between a grant and the first token; work with less left is late.
    void set_first_token_time(duration value) { first_token_time_ = value; }

private:
    struct place {
        std::uint8_t tier{0};
        std::string class_name;
    };
    /// Emptied classes stay, with what their workspaces were charged, up to a bound.
    struct level {
        std::map<std::string, fair_queue> classes;
        std::map<std::string, fair_queue*> waiting; ///< Those with work.
        std::size_t size{0};                        ///< Work of all classes.
    };

    static fair_queue* choose(const level& from, time_point horizon);
    fair_queue& class_queue(std::uint8_t tier, const std::string& class_name);
    std::optional<queued_work> take(std::uint8_t tier, fair_queue& from, time_point now);
    void removed(std::uint8_t tier, const std::string& class_name);

    std::map<std::uint8_t, level> levels_;
    std::unordered_map<std::uint64_t, place> places_;
    duration first_token_time_{0};
};

using work_order = std::variant<fifo_order, tiered_order>;

} // namespace clementinegap
