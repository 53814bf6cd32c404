#pragma once

#include <cstdint>

namespace clementinegap {

/// A budget of extra attempts as a share of the requests: retries or hedges cannot grow into a storm. The
/// lower a tier, the more must be left over for those above it.
class share_budget {
public:
    /// \param share what each request adds; \param depth the most that is saved up.
    share_budget(double share, double depth) : share_(share), depth_(depth), saved_(depth) {}

    void request_seen();
    bool take(std::uint8_t tier);
    double saved() const { return saved_; }

private:
    double share_;
    double depth_;
    double saved_;
};

} // namespace clementinegap
