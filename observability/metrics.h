#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace clementinegap {

/// The daemon's metrics over prometheus-cpp; the table is in docs/metrics.md. Thread-safe.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /// Counts a finished request and its times, in seconds; a first-token time of zero is not entered.
    void request_ended(std::string_view class_name, std::string_view code, bool target_met,
                       double first_token, double total, std::uint32_t tokens);
    void event_counted(std::string_view kind);
    /// Sets a gauge without labels.
    void set(std::string_view name, double value);

    /// The text exposition format.
    std::string text() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace clementinegap
