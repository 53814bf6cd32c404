#pragma once

#include <cstdint>

namespace clementinegap {

/// Budget of extra attempts (retries or hedges) as a share of the requests, which prevents retry storms. Each
/// tier must leave a reserve for the tiers above it, so lower tiers run out of budget first.
class attempt_budget {
public:
    /// \param share what each request adds; \param depth the most that is saved up.
    attempt_budget(double share, double depth) : share_(share), depth_(depth), saved_(depth) {}

    void request_received();
    bool try_take(std::uint8_t tier);
    double saved() const { return saved_; }

private:
    double share_;
    double depth_;
    double saved_;
};

} // namespace clementinegap
