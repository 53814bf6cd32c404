#include "config/configuration_diff.h"

#include <set>

namespace clementinegap {
namespace {

/// Converts a list to an object keyed by `name`, so that an inserted item counts as one difference.
json by_name(const json& items, const char* name)
{
    json result = json::object();
    for (const auto& item : items) {
        result[item.at(name).get<std::string>()] = item;
    }
    return result;
}

json comparable(const configuration& value)
{
    auto document = to_json(value);
    document.erase("version");
    document["classes"] = by_name(document["classes"], "name");
    document["workspaces"] = by_name(document["workspaces"], "name");
    document["rules"] = by_name(document["rules"], "path_prefix");
    return document;
}

std::string value_text(const json& parent, const std::string& name)
{
    return parent.contains(name) ? parent.at(name).dump() : "nothing";
}

void compare(const json& before, const json& after, const std::string& path, std::vector<std::string>& lines)
{
    std::set<std::string> names;
    for (const auto* side : {&before, &after}) {
        for (const auto& [name, ignored] : side->items()) {
            names.insert(name);
        }
    }
    for (const auto& name : names) {
        const auto place = path.empty() ? name : path + "." + name;
        const bool nested = before.contains(name) && after.contains(name) && before.at(name).is_object() &&
                            after.at(name).is_object();
        if (nested) {
            compare(before.at(name), after.at(name), place, lines);
        } else if (value_text(before, name) != value_text(after, name)) {
            lines.push_back(place + ": " + value_text(before, name) + " -> " + value_text(after, name));
        }
    }
}

} // namespace

std::vector<std::string> describe_changes(const configuration& before, const configuration& after)
{
    std::vector<std::string> lines;
    compare(comparable(before), comparable(after), "", lines);
    return lines;
}

} // namespace clementinegap
