#pragma once

#include "core/time.h"

#include <span>
#include <vector>

namespace clementinegap {

/// The value below which the share `quantile` (0..1) of `sorted` lies, by nearest rank; zero without values.
duration quantile_of(std::span<const duration> sorted, double quantile);

} // namespace clementinegap
