#pragma once

#include <cstdint>

namespace clementinegap {

/// The highest fencing number that an upstream daemon has seen; an order under a lower one is out of date.
class fencing_guard {
public:
    /// Whether an order under `number` may go on; remembers it if so.
    bool admit(std::uint64_t number);
    std::uint64_t highest() const { return highest_; }

private:
    std::uint64_t highest_{0};
};

} // namespace clementinegap
