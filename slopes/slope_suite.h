#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace clementinegap {

/// A cost that was measured: so much of `unit` for one more of `per`.
struct slope {
    std::string name;
    std::string per;
    std::string unit;
    double value{0};
};

/// Measures all slopes; each is the median of `rounds`.
std::vector<slope> measure_slopes(std::uint64_t seed, int rounds);

} // namespace clementinegap
