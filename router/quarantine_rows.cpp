#include "router/quarantine_rows.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace clementinegap {
namespace {

using nlohmann::json;

constexpr std::string_view key_prefix = "quarantine/";

} // namespace

std::string quarantine_row_key(std::uint64_t part)
{
    std::ostringstream text;
    text << key_prefix << std::hex << part;
    return std::move(text).str();
}

std::optional<std::uint64_t> part_of_quarantine_row(std::string_view key)
{
    if (!key.starts_with(key_prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(key_prefix.size());
    constexpr int hexadecimal = 16;
    std::uint64_t part = 0;
    const auto* end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data(), end, part, hexadecimal);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(part) : std::nullopt;
}

std::string encode_quarantine_row(const quarantined_part& quarantined, std::int64_t unix_ms)
{
    return json{{"since_unix_ms", unix_ms - to_milliseconds(quarantined.age)},
                {"companions", quarantined.companions}}
        .dump();
}

outcome<quarantined_part> decode_quarantine_row(std::uint64_t part, std::string_view text,
                                                std::int64_t unix_ms)
{
    try {
        const auto row = json::parse(text);
        quarantined_part result;
        result.part = part;
        const auto since = row.at("since_unix_ms").get<std::int64_t>();
        result.age = milliseconds(std::max<std::int64_t>(0, unix_ms - since));
        result.companions = row.at("companions").get<std::vector<std::uint64_t>>();
        return result;
    } catch (const json::exception& problem) {
        return failure(result_code::internal, problem.what());
    }
}

} // namespace clementinegap
