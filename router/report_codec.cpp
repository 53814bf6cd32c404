#include "router/report_codec.h"

#include <nlohmann/json.hpp>
#include <set>

#include <algorithm>

namespace clementinegap {
namespace {

using nlohmann::json;

/// To be incremented with every change of the layout; daemons reject reports of another layout version.
constexpr int layout_version = 14;

json encode_prompt_parts(const prompt_part_statements& statements)
{
    json crashes = json::array();
    for (const auto& each : statements.crashes) {
        json suspects = json::array();
        for (const auto& one : each.suspects) {
            suspects.push_back({one.sent_before.count(), one.parts});
        }
        crashes.push_back({each.upstream, each.incarnation, each.age.count(), std::move(suspects)});
    }
    json quarantined = json::array();
    for (const auto& each : statements.quarantined) {
        quarantined.push_back({each.part, each.age.count(), each.companions});
    }
    json sound = json::array();
    for (const auto& each : statements.sound) {
        sound.push_back({each.part, each.age.count()});
    }
    return json::array({std::move(crashes), std::move(quarantined), std::move(sound)});
}

prompt_part_statements decode_prompt_parts(const json& row)
{
    using part_list = std::vector<std::uint64_t>;
    prompt_part_statements statements;
    for (const auto& each : row.at(0)) {
        crash_evidence evidence{each.at(0).get<std::string>(),
                                each.at(1).get<std::int64_t>(),
                                duration(each.at(2).get<duration::rep>()),
                                {}};
        for (const auto& one : each.at(3)) {
            evidence.suspects.push_back(
                {duration(one.at(0).get<duration::rep>()), one.at(1).get<part_list>()});
        }
        statements.crashes.push_back(std::move(evidence));
    }
    for (const auto& each : row.at(1)) {
        statements.quarantined.push_back({each.at(0).get<std::uint64_t>(),
                                          duration(each.at(1).get<duration::rep>()),
                                          each.at(2).get<part_list>()});
    }
    for (const auto& each : row.at(2)) {
        statements.sound.push_back(
            {each.at(0).get<std::uint64_t>(), duration(each.at(1).get<duration::rep>())});
    }
    return statements;
}

json encode_age(const std::optional<duration>& age)
{
    return age ? json(to_milliseconds(*age)) : json();
}

std::optional<duration> decode_age(const json& age)
{
    return age.is_null() ? std::nullopt : std::optional<duration>(milliseconds(age.get<std::int64_t>()));
}

json encode_relay_status(const relay_status& status)
{
    return {status.zone,
            status.link_mbps,
            status.serves,
            status.directory_version,
            status.era,
            encode_age(status.configuration_age),
            encode_age(status.directory_age)};
}

relay_status decode_relay_status(const json& row)
{
    relay_status status;
    status.zone = row.at(0).get<std::uint32_t>();
    status.link_mbps = row.at(1).get<std::uint16_t>();
    status.serves = row.at(2).get<bool>();
    status.directory_version = row.at(3).get<std::uint64_t>();
    status.era = row.at(4).get<std::uint64_t>();
    status.configuration_age = decode_age(row.at(5));
    status.directory_age = decode_age(row.at(6));
    return status;
}

/// Names each workspace once; the counts of a window follow their order.
json encode_usage(const std::optional<usage_statement>& usage)
{
    if (!usage) {
        return {};
    }
    std::set<std::string> workspaces;
    for (const auto& window : usage->windows) {
        for (const auto& [workspace, count] : window.counts) {
            workspaces.insert(workspace);
        }
    }
    json windows = json::array();
    for (const auto& window : usage->windows) {
        json row = json::array({window.window});
        for (const auto& workspace : workspaces) {
            const auto found = window.counts.find(workspace);
            row.push_back(found == window.counts.end() ? 0 : found->second);
        }
        windows.push_back(std::move(row));
    }
    const auto& duty = usage->duty;
    return json::array({usage->unix_ms, workspaces, std::move(windows),
                        json::array({duty.holder, duty.token, duty.version, duty.sent})});
}

std::optional<usage_statement> decode_usage(const json& row)
{
    if (row.is_null()) {
        return std::nullopt;
    }
    usage_statement usage;
    usage.unix_ms = row.at(0).get<std::int64_t>();
    const auto workspaces = row.at(1).get<std::vector<std::string>>();
    for (const auto& each : row.at(2)) {
        usage_report window{each.at(0).get<window_number>(), {}};
        for (std::size_t index = 0; index < workspaces.size(); ++index) {
            const auto count = each.at(index + 1).get<std::uint64_t>();
            if (count > 0) {
                window.counts[workspaces[index]] = count;
            }
        }
        usage.windows.push_back(std::move(window));
    }
    const auto& duty = row.at(3);
    usage.duty = {duty.at(0).get<std::string>(), duty.at(1).get<std::uint64_t>(),
                  duty.at(2).get<std::uint64_t>(), duty.at(3).get<window_number>()};
    return usage;
}

json encode_ended_processes(std::span<const ended_process> processes)
{
    json rows = json::array();
    for (const auto& each : processes) {
        rows.push_back({each.upstream, each.incarnation, to_milliseconds(each.age)});
    }
    return rows;
}

std::vector<ended_process> decode_ended_processes(const json& rows)
{
    std::vector<ended_process> processes;
    for (const auto& each : rows) {
        processes.push_back({each.at(0).get<std::string>(), each.at(1).get<std::int64_t>(),
                             milliseconds(each.at(2).get<std::int64_t>())});
    }
    return processes;
}

/// Counts are bounded, so that a faulty daemon cannot outweigh all others for long.
std::vector<outcome_statement> decode_outcomes(const json& rows)
{
    constexpr double max_count = 1e5;
    std::vector<outcome_statement> result;
    for (const auto& each : rows) {
        const auto lost = each.at(2).get<double>();
        const auto outcomes = std::min(each.at(3).get<double>(), max_count);
        if (lost > 0 && outcomes > 0) { // Neither holds for a NaN.
            result.push_back({each.at(0).get<std::string>(), each.at(1).get<std::int64_t>(),
                              std::min(lost, outcomes), outcomes});
        }
    }
    return result;
}

} // namespace

std::string encode_report(const load_report& report, std::span<const soft_state_item> items)
{
    json loads = json::array();
    for (const auto& [id, load] : report.loads) {
        loads.push_back({id, load.in_flight, load.short_gaps, load.prefill_tokens, load.backoffs});
    }
    json demands = json::array();
    for (const auto& each : report.demands) {
        demands.push_back({each.step_tolerance.count(), static_cast<float>(each.work),
                           static_cast<float>(each.recent_work), each.urgency});
    }
    json placements = json::array();
    for (const auto& each : report.placements) {
        placements.push_back({each.upstream, each.part, each.tokens, to_milliseconds(each.ready_in)});
    }
    json memory_uses = json::array();
    for (const auto& each : report.memory_uses) {
        memory_uses.push_back({each.upstream, each.tokens});
    }
    json soft_state = json::array();
    for (const auto& each : items) {
        soft_state.push_back({each.kind, each.key, each.value, each.lifetime.count()});
    }
    json speeds = json::array();
    for (const auto& each : report.speeds) {
        speeds.push_back({each.service, static_cast<float>(each.speed.prompt_tokens_per_ms),
                          each.speed.token.count(), each.speed.samples});
    }
    json leave_notices = json::array();
    for (const auto& each : report.leave_notices) {
        leave_notices.push_back({each.upstream, each.incarnation});
    }
    json limits = json::array();
    for (const auto& each : report.limits) {
        limits.push_back({each.upstream, each.revision, each.per_second ? json(*each.per_second) : json()});
    }
    json outcomes = json::array();
    for (const auto& each : report.outcomes) {
        outcomes.push_back({each.upstream, each.incarnation, static_cast<float>(each.lost),
                            static_cast<float>(each.outcomes)});
    }
    const json document = {layout_version,
                           report.daemon,
                           report.incarnation,
                           report.sequence,
                           report.configuration_version,
                           loads,
                           demands,
                           soft_state,
                           placements,
                           report.next_in.count(),
                           speeds,
                           encode_relay_status(report.relay),
                           leave_notices,
                           limits,
                           encode_prompt_parts(report.prompt_parts),
                           encode_usage(report.usage),
                           std::move(memory_uses),
                           std::move(outcomes),
                           encode_ended_processes(report.ended_processes)};
    std::string bytes;
    json::to_msgpack(document, bytes);
    return bytes;
}

outcome<load_reported> decode_report(std::string_view bytes)
{
    try {
        const auto document = json::from_msgpack(bytes);
        if (document.at(0).get<int>() != layout_version) {
            return failure(result_code::internal, "report has another layout version");
        }
        load_reported result;
        auto& report = result.report;
        report.daemon = document.at(1).get<std::string>();
        report.incarnation = document.at(2).get<std::uint64_t>();
        report.sequence = document.at(3).get<std::uint64_t>();
        report.configuration_version = document.at(4).get<std::uint64_t>();
        report.next_in = duration(document.at(9).get<duration::rep>());
        for (const auto& each : document.at(5)) {
            report.loads.emplace_back(
                each.at(0).get<std::string>(),
                upstream_load{each.at(1).get<std::uint32_t>(), each.at(2).get<std::uint32_t>(),
                              each.at(3).get<std::uint32_t>(), each.at(4).get<std::uint32_t>()});
        }
        for (const auto& each : document.at(6)) {
            report.demands.push_back({duration(each.at(0).get<duration::rep>()), each.at(1).get<double>(),
                                      each.at(2).get<double>(), each.at(3).get<std::uint8_t>()});
        }
        for (const auto& each : document.at(8)) {
            report.placements.push_back({each.at(0).get<std::string>(), each.at(1).get<std::uint64_t>(),
                                         each.at(2).get<std::uint32_t>(),
                                         milliseconds(each.at(3).get<std::int64_t>())});
        }
        report.relay = decode_relay_status(document.at(11));
        for (const auto& each : document.at(10)) {
            engine_speed speed;
            speed.prompt_tokens_per_ms = each.at(1).get<double>();
            speed.token = duration(each.at(2).get<duration::rep>());
            speed.samples = each.at(3).get<std::uint32_t>();
            report.speeds.push_back({each.at(0).get<std::string>(), speed});
        }
        for (const auto& each : document.at(12)) {
            report.leave_notices.push_back({each.at(0).get<std::string>(), each.at(1).get<std::int64_t>()});
        }
        for (const auto& each : document.at(13)) {
            const auto& rate = each.at(2);
            report.limits.push_back({each.at(0).get<std::string>(), each.at(1).get<std::uint32_t>(),
                                     rate.is_null() ? std::nullopt : std::optional(rate.get<double>())});
        }
        report.prompt_parts = decode_prompt_parts(document.at(14));
        report.usage = decode_usage(document.at(15));
        for (const auto& each : document.at(16)) {
            report.memory_uses.push_back({each.at(0).get<std::string>(), each.at(1).get<std::uint32_t>()});
        }
        report.outcomes = decode_outcomes(document.at(17));
        report.ended_processes = decode_ended_processes(document.at(18));
        for (const auto& each : document.at(7)) {
            soft_state_item item;
            item.origin = report.daemon;
            item.incarnation = report.incarnation;
            item.kind = each.at(0).get<std::string>();
            item.key = each.at(1).get<std::string>();
            item.value = each.at(2).get<std::string>();
            item.lifetime = duration(each.at(3).get<duration::rep>());
            result.items.push_back(std::move(item));
        }
        return result;
    } catch (const json::exception& error) {
        return failure(result_code::internal, error.what());
    }
}

} // namespace clementinegap
