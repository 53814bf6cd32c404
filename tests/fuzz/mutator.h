#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace clementinegap {

/// Derives faulty inputs from good ones: bytes flipped, runs cut, doubled or moved, and tokens that parsers
/// stumble over put in. The same seed gives the same inputs on every platform.
class mutator {
public:
    explicit mutator(std::uint64_t seed) : random_(seed) {}

    /// One to eight mutations of one of `corpus`.
    std::string next(std::span<const std::string> corpus);
    /// A whole number below `bound`.
    std::size_t below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }

private:
    void mutate(std::string& text);

    std::mt19937_64 random_;
};

} // namespace clementinegap
