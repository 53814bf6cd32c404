#include "policy/attempt_budget.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr double reserve_per_tier = 0.1; ///< Share of the depth that each tier leaves to those above it.

} // namespace

void attempt_budget::request_received()
{
    saved_ = std::min(depth_, saved_ + share_);
}

bool attempt_budget::try_take(std::uint8_t tier)
{
    const double kept = depth_ * std::min(reserve_per_tier * tier, 1.0);
    if (saved_ < 1 + kept) {
        return false;
    }
    saved_ -= 1;
    return true;
}

} // namespace clementinegap
