#pragma once

#include <cstdint>

/// \file
/// What the calling thread has used: processor time, and heap bytes that are held by the whole program. The
/// program's allocation functions are replaced for the count (see resource_meter.cpp).

namespace clementinegap {

/// Processor time of the calling thread in microseconds.
double thread_cpu_us();

/// Heap bytes held now, the allocator's rounding included.
std::int64_t live_bytes();

} // namespace clementinegap
