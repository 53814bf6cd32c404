#include "main/settings.h"

#include "core/checked_json.h"

#include <array>
#include <fstream>
#include <sstream>

namespace clementinegap {
namespace {

using namespace std::string_view_literals;

constexpr std::array role_words{"entry"sv, "upstream"sv};
constexpr std::array level_words{"debug"sv, "info"sv, "warning"sv, "error"sv};
constexpr std::int64_t max_port = 65535;
constexpr std::int64_t day_ms = std::int64_t{24} * 3600 * 1000;

duration read_ms(object_reader& reader, std::string_view name, duration fallback)
{
    return milliseconds(reader.integer(name, 1, day_ms, to_milliseconds(fallback)));
}

std::size_t read_size(object_reader& reader, std::string_view name, std::int64_t high, std::size_t fallback)
{
    return static_cast<std::size_t>(reader.integer(name, 1, high, static_cast<std::int64_t>(fallback)));
}

void read_required_text(object_reader& reader, std::string_view name, std::string& target)
{
    target = reader.string(name);
    if (target.empty() && reader.has(name)) {
        reader.fault(name, "an empty text", "at least one character");
    }
}

void read_admin(const json& value, const std::string& path, settings& result, fault_list& faults)
{
    object_reader reader(value, path, faults);
    result.admin_address = reader.string("address", result.admin_address);
    result.admin_port = static_cast<std::uint16_t>(reader.integer("port", 0, max_port));
    reader.finish();
}

void read_platform(const json& value, const std::string& path, settings& result, fault_list& faults)
{
    object_reader reader(value, path, faults);
    read_required_text(reader, "url", result.platform_url);
    result.platform_timeout = read_ms(reader, "timeout_ms", result.platform_timeout);
    result.platform_poll = read_ms(reader, "poll_ms", result.platform_poll);
    reader.finish();
}

void read_peers(const json& value, const std::string& path, settings& result, fault_list& faults)
{
    object_reader reader(value, path, faults);
    result.peer_address = reader.string("address", "");
    result.peer_seeds = reader.strings("seeds");
    result.upstreams_per_model = read_size(reader, "upstreams_per_model", 4096, result.upstreams_per_model);
    const bool plain_text = reader.boolean("plain_text", false);
    result.peer_ca_file = reader.string("ca_file", "");
    result.peer_certificate_file = reader.string("certificate_file", "");
    result.peer_key_file = reader.string("key_file", "");
    const bool has_keys = !result.peer_ca_file.empty() && !result.peer_certificate_file.empty() &&
                          !result.peer_key_file.empty();
    if (plain_text == has_keys) {
        reader.fault("plain_text", plain_text ? "true beside keys" : "no keys",
                     "ca_file, certificate_file and key_file, or \"plain_text\": true");
    }
    reader.finish();
}

void read_callers(const json& value, const std::string& path, settings& result, fault_list& faults)
{
    object_reader reader(value, path, faults);
    result.caller_address = reader.string("address", result.caller_address);
    result.caller_port = static_cast<std::uint16_t>(reader.integer("port", 0, max_port));
    result.caller_certificate_file = reader.string("certificate_file", "");
    result.caller_key_file = reader.string("key_file", "");
    if (result.caller_certificate_file.empty() != result.caller_key_file.empty()) {
        reader.fault("key_file", "one of the two files", "certificate_file and key_file, or neither");
    }
    result.max_body_bytes = read_size(reader, "max_body_bytes", 1 << 30, result.max_body_bytes);
    result.receive_timeout = read_ms(reader, "receive_timeout_ms", result.receive_timeout);
    result.max_requests = read_size(reader, "max_requests", 1 << 20, result.max_requests);
    result.buffer_limit_mb = static_cast<std::size_t>(reader.integer("buffer_limit_mb", 0, 65536, 0));
    result.connection_limit = static_cast<std::size_t>(reader.integer("connection_limit", 0, 1 << 20, 0));
    reader.finish();
}

void read_upstream(const json& value, const std::string& path, settings& result, fault_list& faults)
{
    object_reader reader(value, path, faults);
    read_required_text(reader, "url", result.engine_url);
    result.models = reader.strings("models", true);
    result.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 4096, result.slots));
    result.max_queue = read_size(reader, "max_queue", 1 << 20, result.max_queue);
    reader.finish();
}

} // namespace

outcome<settings> settings_from_text(std::string_view text)
{
    fault_list faults;
    settings result;
    const auto document = parse_json_with_comments(text, faults);
    if (!document) {
        return failure(result_code::invalid_settings, faults.text());
    }
    object_reader reader(*document, "", faults);
    result.role = reader.choice("role", role_words) == "entry" ? daemon_role::entry : daemon_role::upstream;
    read_required_text(reader, "vm", result.vm);
    read_required_text(reader, "zone", result.zone);
    read_required_text(reader, "region", result.region);
    result.log_level = reader.choice("log_level", level_words, result.log_level);
    result.naive = reader.boolean("naive", false);
    result.ring_capacity = read_size(reader, "ring_capacity", 65000, 65000);
    result.timeline_capacity = read_size(reader, "timeline_capacity", 10'000'000, result.timeline_capacity);
    result.drain_timeout = read_ms(reader, "drain_timeout_ms", result.drain_timeout);
    const auto section = [&](std::string_view name, auto read, bool required) {
        reader.object(
            name, [&](const json& value, const std::string& path) { read(value, path, result, faults); },
            required);
    };
    const bool is_entry = result.role == daemon_role::entry;
    section("admin", read_admin, true);
    section("platform", read_platform, true);
    section("peers", read_peers, true);
    section("callers", read_callers, is_entry);
    section("upstream", read_upstream, !is_entry);
    if (!is_entry && result.peer_address.empty()) {
        faults.add("peers.address", "nothing", "\"IP:port\" to listen on for entry daemons");
    }
    reader.finish();
    if (!faults.empty()) {
        return failure(result_code::invalid_settings, faults.text());
    }
    return result;
}

outcome<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return failure(result_code::invalid_settings, path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

outcome<settings> settings_from_file(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, read_file(path));
    return settings_from_text(text);
}

} // namespace clementinegap
