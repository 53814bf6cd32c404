#include "router/entry_settings.h"

#include "core/checked_json.h"
#include "routing/scaled_duration.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace clementinegap {
namespace {

endpoint read_endpoint(object_reader& reader, std::string_view name)
{
    const auto text = reader.string(name);
    const auto parsed = parse_endpoint(text);
    if (!parsed) {
        reader.fault(name, text, "IP:PORT");
    }
    return parsed.value_or(endpoint{});
}

/// \returns nothing if one of the settings is absent.
std::optional<duty_settings> read_duties(object_reader& reader)
{
    constexpr std::array names{
        "platform_service_address", "duties", "usage_window_s", "usage_late_s", "duty_lease_ms",
        "duty_calls_per_s"};
    constexpr double max_window_s = 86400;
    constexpr double max_lease_ms = 600000;
    constexpr double max_calls_per_s = 1e6;
    const bool is_complete = std::ranges::all_of(names, [&](const auto* name) { return reader.has(name); });
    duty_settings result;
    if (reader.has("platform_service_address")) {
        result.service = read_endpoint(reader, "platform_service_address");
    }
    result.names = reader.strings("duties");
    result.usage_window = scaled(seconds(1), reader.number("usage_window_s", 0.1, max_window_s, 1));
    result.usage_late = scaled(seconds(1), reader.number("usage_late_s", 0.1, max_window_s, 1));
    result.lease_term = scaled(milliseconds(1), reader.number("duty_lease_ms", 100, max_lease_ms, 1000));
    result.calls_per_second = reader.number("duty_calls_per_s", 0.001, max_calls_per_s, 1);
    return is_complete ? std::optional(result) : std::nullopt;
}

} // namespace

outcome<entry_settings> entry_settings_from_text(std::string_view text)
{
    fault_list faults;
    const auto document = parse_json_with_comments(text, faults);
    if (!document) {
        return failure(result_code::invalid_settings, faults.text());
    }
    entry_settings result;
    object_reader reader(*document, "", faults);
    result.vm = reader.string("vm");
    result.zone = reader.string("zone");
    result.log_level = reader.string("log_level", "info");
    result.caller_address = read_endpoint(reader, "caller_address");
    result.readiness_address = read_endpoint(reader, "readiness_address");
    result.peer_address = read_endpoint(reader, "peer_address");
    result.metrics_path = reader.string("metrics_path", "/metrics");
    result.store_address = read_endpoint(reader, "store_address");
    result.placement = placement_rule_named(
        reader.choice("placement", placement_rule_names, std::string(placement_rule_names.front())));
    const engine_speed defaults;
    constexpr double max_tokens_per_ms = 1000;
    constexpr double max_token_ms = 10000;
    result.assumed_speed.prompt_tokens_per_ms =
        reader.number("engine_prompt_tokens_per_ms", 1, max_tokens_per_ms, defaults.prompt_tokens_per_ms);
    result.assumed_speed.token =
        scaled(milliseconds(1), reader.number("engine_token_ms", 0.1, max_token_ms,
                                              static_cast<double>(to_milliseconds(defaults.token))));
    constexpr double max_link_mbps = 65000;
    result.link_mbps = static_cast<std::uint16_t>(reader.number("link_mbps", 0, max_link_mbps, 0));
    constexpr double max_bound_ms = 3600000;
    result.directory_bound = scaled(milliseconds(1), reader.number("directory_bound_ms", 0, max_bound_ms, 0));
    result.configuration_bound =
        scaled(milliseconds(1), reader.number("configuration_bound_ms", 0, max_bound_ms, 0));
    constexpr double max_seconds = 3600;
    result.retry_ratio = reader.number("retry_ratio", 0, 1, 0.2);
    result.retry_window = scaled(seconds(1), reader.number("retry_window_s", 1, max_seconds, 10));
    result.retry_slack = reader.number("retry_slack", 0, 1e6, 0);
    result.longest_pause = scaled(seconds(1), reader.number("longest_pause_s", 1, max_seconds, 600));
    result.stop_grace = scaled(seconds(1), reader.number("stop_grace_s", 1, max_seconds, 8));
    constexpr double max_buffer_mb = 65536;
    result.buffer_limit_mb = static_cast<std::size_t>(reader.number("buffer_limit_mb", 0, max_buffer_mb, 0));
    constexpr double max_connections = 1e6;
    result.connection_limit =
        static_cast<std::size_t>(reader.number("connection_limit", 0, max_connections, 0));
    result.duties = read_duties(reader);
    reader.finish();
    if (!faults.empty()) {
        return failure(result_code::invalid_settings, faults.text());
    }
    return result;
}

outcome<std::string> settings_file_text(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return failure(result_code::invalid_settings, path + ": cannot read the settings file\n");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

outcome<entry_settings> entry_settings_from_file(const std::string& path)
{
    const auto text = settings_file_text(path);
    if (!text) {
        return text.error();
    }
    return entry_settings_from_text(text.value());
}

} // namespace clementinegap
