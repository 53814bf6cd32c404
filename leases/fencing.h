#pragma once

#include <cstdint>

namespace clementinegap {

/// The highest fencing number that an upstream daemon has admitted; orders with a lower number are stale.
class fencing_guard {
public:
    /// \returns whether an order with `number` may proceed; if so, the number becomes the highest.
    bool admit(std::uint64_t number);
    std::uint64_t highest() const { return highest_; }

private:
    std::uint64_t highest_{0};
};

} // namespace clementinegap
