#include "router/suspicion_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace clementinegap {

using nlohmann::json;

std::string encode_suspicions(std::span<const suspicion> suspicions, std::int64_t unix_ms)
{
    json rows = json::array();
    for (const auto& each : suspicions) {
        rows.push_back({each.fingerprint, each.crashes, unix_ms - to_milliseconds(each.age)});
    }
    return rows.dump();
}

outcome<std::vector<suspicion>> decode_suspicions(std::string_view text, std::int64_t unix_ms)
{
    try {
        std::vector<suspicion> result;
        for (const auto& each : json::parse(text)) {
            const auto since = each.at(2).get<std::int64_t>();
            result.push_back({each.at(0).get<std::string>(), each.at(1).get<std::uint32_t>(),
                              milliseconds(std::max<std::int64_t>(0, unix_ms - since))});
        }
        return result;
    } catch (const json::exception& problem) {
        return failure(result_code::internal, problem.what());
    }
}

} // namespace clementinegap
