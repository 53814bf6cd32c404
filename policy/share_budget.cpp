#include "policy/share_budget.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr double kept_per_tier = 0.1; ///< Share of the depth that each tier leaves for those above it.

} // namespace

void share_budget::request_seen()
{
    saved_ = std::min(depth_, saved_ + share_);
}

bool share_budget::take(std::uint8_t tier)
{
    const double kept = depth_ * std::min(kept_per_tier * tier, 1.0);
    if (saved_ < 1 + kept) {
        return false;
    }
    saved_ -= 1;
    return true;
}

} // namespace clementinegap
