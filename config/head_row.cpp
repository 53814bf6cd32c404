#include "config/head_row.h"

#include "core/checked_json.h"

namespace clementinegap {

std::string to_row(const head_row& head)
{
    return json{{"version", head.version}, {"hash", head.hash}}.dump();
}

std::optional<head_row> head_from_row(std::string_view value)
{
    const auto document = json::parse(value, nullptr, false);
    fault_list faults;
    object_reader reader(document, "", faults);
    head_row result;
    result.version = static_cast<std::uint64_t>(reader.integer("version", 1, INT64_MAX));
    result.hash = reader.string("hash");
    if (!faults.empty()) {
        return std::nullopt;
    }
    return result;
}

} // namespace clementinegap
