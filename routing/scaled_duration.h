#pragma once

#include "core/time.h"

namespace clementinegap {

/// A duration times a factor, truncated to whole microseconds.
constexpr duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

} // namespace clementinegap
