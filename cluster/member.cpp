#include "cluster/member.h"

#include "core/checked_json.h"

namespace clementinegap {

std::string to_item_value(const member_info& info)
{
    return json{{"role", info.role},       {"zone", info.zone},     {"region", info.region},
                {"address", info.address}, {"models", info.models}, {"leaving", info.leaving}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

member_info member_from_item(std::string_view vm, std::string_view value)
{
    member_info result;
    result.vm = vm;
    const auto document = json::parse(value, nullptr, false);
    fault_list faults;
    object_reader reader(document, "", faults);
    result.role = reader.string("role", "");
    result.zone = reader.string("zone", "");
    result.region = reader.string("region", "");
    result.address = reader.string("address", "");
    result.models = reader.strings("models");
    result.leaving = reader.boolean("leaving", false);
    return result;
}

} // namespace clementinegap
