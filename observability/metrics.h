#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// What is measured of a request at its end; times in seconds, zero where there is none.
struct measured_request {
    std::string_view class_name;
    std::string_view code;
    int tier{0};
    bool ok{false};
    bool target_met{false};
    double queue_wait{0};
    double first_token{0};
    double total{0};
    std::uint32_t tokens{0};
    std::uint32_t wasted_tokens{0};
    std::uint32_t dispatches{0};
};

/// The counts of one class, for the status at a glance.
struct class_totals {
    std::string name;
    std::uint64_t ended{0};
    std::uint64_t ok{0};
    std::uint64_t target_met{0};
    std::uint64_t tokens{0};
};

/// The daemon's metrics over prometheus-cpp; the table is in docs/metrics.md. Thread-safe. Time series are
/// looked up in the library once and kept; the number of label values is bounded, and what is past the bound
/// is counted under "other".
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    void request_ended(const measured_request& request);
    void event_counted(std::string_view kind);
    /// Counts the usage report of a window by how it ended.
    void usage_window_ended(std::string_view result);
    /// Counts a call of the platform.
    void store_called(std::string_view operation, double span, bool ok);
    /// Sets a gauge without labels; a name that is not in `metric_table` is ignored.
    void set(std::string_view name, double value);

    std::vector<class_totals> totals() const;
    /// The text exposition format.
    std::string text() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace clementinegap
