#pragma once

#include "net/http_server_connection.h"
#include "net/tcp_connection.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Stand-in of the platform's own service: takes usage reports and judges the rules of the duty from what it
/// receives. Runs on the loop of the test.
class usage_service final : public http_server_connection::handler {
public:
    enum class weather : std::uint8_t {
        fair,
        busy,  ///< 429, the report is not taken.
        silent ///< Takes the report and does not answer.
    };

    struct received_report {
        std::string holder;
        std::uint64_t token{0};
        std::int64_t window{0};
        std::map<std::string, std::uint64_t> counts;
        time_point at;
    };
    using report_callback = std::function<void(const received_report&)>;
    using fault_callback = std::function<void(const received_report&, std::string_view rule)>;

    /// \param lease_term in which holders must not return to an earlier one.
    usage_service(event_loop& loop, duration lease_term);
    bool listen(std::uint16_t port = 0) { return listener_.listen("127.0.0.1", port); }
    std::uint16_t port() const { return listener_.port(); }
    void set_weather(weather next) { weather_ = next; }
    /// Called with each report that is received.
    void on_report(report_callback callback) { report_ = std::move(callback); }
    /// Called with each report that breaks a rule.
    void on_fault(fault_callback callback) { fault_ = std::move(callback); }
    const std::vector<received_report>& reports() const { return reports_; }
    std::size_t faults() const { return faults_; }

private:
    void on_request(http_server_connection& from, http_head head, std::string body) override;
    std::string error_response(int status, std::string_view text) override;
    void on_disconnected(http_server_connection&) override {}
    void on_written(http_server_connection&) override {}
    void judge(const received_report& report);
    bool returns_to_earlier_holder(const received_report& report) const;
    void fault(const received_report& report, std::string_view rule);

    event_loop& loop_;
    duration lease_term_;
    tcp_listener listener_;
    std::list<std::unique_ptr<http_server_connection>> connections_;
    weather weather_{weather::fair};
    report_callback report_{[](const received_report&) {}};
    fault_callback fault_{[](const received_report&, std::string_view) {}};
    std::vector<received_report> reports_;
    std::size_t faults_{0};
};

} // namespace clementinegap
