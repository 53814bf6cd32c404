#include "stand_ins/usage_service.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace clementinegap {
namespace {

using nlohmann::json;

std::string answer(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: 2\r\n\r\n{}";
}

std::optional<usage_service::received_report> read_report(const http_head& head, const std::string& body)
{
    const auto* holder = head.find("X-Duty-Holder");
    const auto* token = head.find("X-Fencing-Token");
    const auto document = json::parse(body, nullptr, false);
    if (holder == nullptr || token == nullptr || !document.is_object()) {
        return std::nullopt;
    }
    try {
        usage_service::received_report result;
        result.holder = *holder;
        const auto* end = token->data() + token->size();
        if (std::from_chars(token->data(), end, result.token).ptr != end) {
            return std::nullopt;
        }
        result.window = document.at("window_id").get<std::int64_t>();
        result.counts = document.at("counts").get<std::map<std::string, std::uint64_t>>();
        return result;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

usage_service::usage_service(event_loop& loop, duration lease_term)
    : loop_(loop), lease_term_(lease_term), listener_(loop, [this](uv_stream_t* listening) {
          auto connection = std::make_unique<http_server_connection>(loop_, *this, server_limits{});
          connections_.remove_if([](const auto& each) { return each->closed(); });
          if (connection->accept(listening, keepalive_limits{})) {
              connections_.push_back(std::move(connection));
          }
      })
{
}

void usage_service::on_request(http_server_connection& from, http_head head, std::string body)
{
    auto report = read_report(head, body);
    if (!report || head.method != "POST" || head.target != "/usage") {
        ++faults_;
        fault_(received_report{}, "malformed");
        from.write(answer(400));
        from.end_response(true);
        return;
    }
    report->at = event_loop::now();
    judge(*report);
    report_(*report);
    reports_.push_back(std::move(*report));
    if (weather_ == weather::silent) {
        return;
    }
    from.write(answer(weather_ == weather::busy ? 429 : 200));
    from.end_response(false);
}

void usage_service::judge(const received_report& report)
{
    const bool has_other_counts = std::ranges::any_of(reports_, [&](const received_report& each) {
        return each.window == report.window && each.counts != report.counts;
    });
    if (has_other_counts) {
        fault(report, "other_counts");
    }
    const bool has_token_of_another = std::ranges::any_of(reports_, [&](const received_report& each) {
        return each.token == report.token && each.holder != report.holder;
    });
    if (has_token_of_another) {
        fault(report, "token_of_another");
    }
    const bool is_lower =
        std::ranges::any_of(reports_, [&](const received_report& each) { return each.token > report.token; });
    if (is_lower) {
        fault(report, "lower_token");
    }
    if (returns_to_earlier_holder(report)) {
        fault(report, "holder_returned");
    }
}

bool usage_service::returns_to_earlier_holder(const received_report& report) const
{
    bool has_changed = false;
    for (auto each = reports_.rbegin(); each != reports_.rend(); ++each) {
        if (report.at - each->at > lease_term_) {
            return false;
        }
        if (has_changed && each->holder == report.holder) {
            return true;
        }
        has_changed = has_changed || each->holder != report.holder;
    }
    return false;
}

void usage_service::fault(const received_report& report, std::string_view rule)
{
    ++faults_;
    fault_(report, rule);
}

std::string usage_service::error_response(int status, std::string_view)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

} // namespace clementinegap
