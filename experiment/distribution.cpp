#include "experiment/distribution.h"

#include <algorithm>
#include <cmath>

namespace clementinegap {

duration quantile_of(std::span<const duration> sorted, double quantile)
{
    if (sorted.empty()) {
        return duration::zero();
    }
    const auto rank = std::ceil(quantile * static_cast<double>(sorted.size()));
    const auto index = std::clamp<std::size_t>(static_cast<std::size_t>(rank), 1, sorted.size()) - 1;
    return sorted[index];
}

} // namespace clementinegap
