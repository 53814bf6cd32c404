#include "duties/duty_row.h"

#include "core/checked_json.h"

#include <cstdint>

namespace clementinegap {
namespace {

usage_report report_from(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    usage_report result;
    result.window = reader.integer("window_id", 1, INT64_MAX);
    reader.object(
        "counts",
        [&](const json& counts, const std::string& counts_path) {
            object_reader members(counts, counts_path, faults);
            for (const auto& [workspace, count] : counts.items()) {
                result.counts[workspace] =
                    static_cast<std::uint64_t>(members.integer(workspace, 0, INT64_MAX));
            }
        },
        true);
    return result;
}

} // namespace

std::string to_row(const duty_row& row)
{
    auto reports = json::array();
    for (const auto& report : row.reports) {
        reports.push_back({{"window_id", report.window}, {"counts", json(report.counts)}});
    }
    return json{{"holder", row.lease.holder},
                {"number", row.lease.number},
                {"expires_unix_ms", row.lease.expires_unix_ms},
                {"sent", row.sent},
                {"reports", std::move(reports)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

outcome<duty_row> duty_row_from(std::string_view value)
{
    duty_row result;
    BOOST_OUTCOME_TRY(lease, lease_from_row(value));
    result.lease = lease;
    fault_list faults;
    const auto document = parse_json_with_comments(value, faults);
    object_reader reader(*document, "", faults);
    result.sent = reader.integer("sent", 0, INT64_MAX);
    reader.objects(
        "reports",
        [&](const json& report, const std::string& path) {
            result.reports.push_back(report_from(report, path, faults));
            const auto count = result.reports.size();
            if (count > 1 && result.reports[count - 2].window >= result.reports[count - 1].window) {
                faults.add(path, "window out of order", "windows in ascending order");
            }
        },
        true);
    if (result.lease.holder.empty()) {
        reader.fault("holder", "an empty string", "a name");
    }
    if (result.reports.size() > reports_in_row) {
        reader.fault("reports", std::to_string(result.reports.size()), "at most four");
    }
    if (!faults.empty()) {
        return failure(result_code::internal, "the duty's row: " + faults.text());
    }
    return result;
}

} // namespace clementinegap
