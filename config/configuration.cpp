#include "config/configuration.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <set>

namespace clementinegap {
namespace {

using namespace std::string_view_literals;

constexpr std::array repeat_words{"idempotent"sv, "repeatable"sv, "never"sv};
constexpr std::int64_t max_milliseconds = std::int64_t{7} * 24 * 3600 * 1000;
constexpr std::int64_t max_unix_milliseconds = 4102444800000;

repeat_rule repeat_from(std::string_view word)
{
    const auto found = std::ranges::find(repeat_words, word);
    return static_cast<repeat_rule>(found - repeat_words.begin());
}

std::int64_t unix_milliseconds(time_point at)
{
    return to_milliseconds(at.time_since_epoch());
}

duration read_milliseconds(object_reader& reader, std::string_view name, std::int64_t low)
{
    return milliseconds(reader.integer(name, low, max_milliseconds));
}

request_class read_class(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    request_class result;
    result.name = reader.string("name");
    if (result.name.empty()) {
        reader.fault("name", "an empty name", "a name of at least one character");
    }
    result.team = reader.string("team", "");
    result.tier = static_cast<int>(reader.integer("tier", 0, max_tiers - 1));
    result.repeat = repeat_from(reader.choice("repeat", repeat_words));
    result.key_required = reader.boolean("key_required", false);
    result.model = reader.string("model");
    result.is_service = reader.boolean("is_service", false);
    result.first_token_target = read_milliseconds(reader, "first_token_target_ms", 1);
    result.token_interval_target = read_milliseconds(reader, "token_interval_target_ms", 1);
    result.deadline = read_milliseconds(reader, "deadline_ms", 1);
    result.longest_run = read_milliseconds(reader, "longest_run_ms", 1);
    result.quantum_tokens = static_cast<std::uint32_t>(reader.integer("quantum_tokens", 1, 1'000'000));
    result.starvation_bound = read_milliseconds(reader, "starvation_bound_ms", 1);
    reader.finish();
    return result;
}

rate_limit read_limit(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    rate_limit result;
    result.class_name = reader.string("class", "");
    result.requests_per_second = reader.number("requests_per_second", 0.001, 1e6);
    result.burst = reader.number("burst", 1, 1e6);
    reader.finish();
    return result;
}

workspace read_workspace(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    workspace result;
    result.name = reader.string("name");
    result.key_sha256 = reader.string("key_sha256");
    if (result.key_sha256.size() != 64 ||
        result.key_sha256.find_first_not_of("0123456789abcdef") != std::string::npos) {
        reader.fault("key_sha256", std::to_string(result.key_sha256.size()) + " characters",
                     "the SHA-256 of the key as 64 lower-case hexadecimal digits");
    }
    result.weight = reader.number("weight", 0.01, 1000, 1.0);
    reader.objects("limits", [&](const json& item, const std::string& at) {
        result.limits.push_back(read_limit(item, at, faults));
    });
    reader.finish();
    return result;
}

class_rule read_rule(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    class_rule result;
    result.path_prefix = reader.string("path_prefix");
    result.model = reader.string("model", "");
    result.class_name = reader.string("class");
    reader.finish();
    return result;
}

void check_references(const configuration& value, fault_list& faults)
{
    std::set<std::string> classes;
    for (const auto& item : value.classes) {
        if (!classes.insert(item.name).second) {
            faults.add("classes", "\"" + item.name + "\" twice", "each class once");
        }
    }
    std::set<std::string> workspaces;
    std::set<std::string> keys;
    for (const auto& item : value.workspaces) {
        if (!workspaces.insert(item.name).second) {
            faults.add("workspaces", "\"" + item.name + "\" twice", "each workspace once");
        }
        if (!keys.insert(item.key_sha256).second) {
            faults.add("workspaces", "the key of \"" + item.name + "\" twice",
                       "a key of its own for each workspace");
        }
        for (const auto& limit : item.limits) {
            if (!limit.class_name.empty() && !classes.contains(limit.class_name)) {
                faults.add("workspaces." + item.name + ".limits", "class \"" + limit.class_name + "\"",
                           "a configured class");
            }
        }
    }
    for (const auto& rule : value.rules) {
        if (!classes.contains(rule.class_name)) {
            faults.add("rules", "class \"" + rule.class_name + "\"", "a configured class");
        }
    }
}

} // namespace

const request_class* configuration::find_class(std::string_view name) const
{
    const auto found = std::ranges::find(classes, name, &request_class::name);
    return found == classes.end() ? nullptr : &*found;
}

const workspace* configuration::find_workspace(std::string_view name) const
{
    const auto found = std::ranges::find(workspaces, name, &workspace::name);
    return found == workspaces.end() ? nullptr : &*found;
}

const workspace* configuration::find_workspace_by_key(std::string_view key_sha256) const
{
    const workspace* match = nullptr;
    for (const auto& item : workspaces) {
        // All keys are compared, so that the duration does not reveal a partial match.
        if (equal_constant_time(item.key_sha256, key_sha256)) {
            match = &item;
        }
    }
    return match;
}

const request_class* configuration::classify(std::string_view path, std::string_view model) const
{
    for (const auto& rule : rules) {
        if (path.starts_with(rule.path_prefix) && (rule.model.empty() || rule.model == model)) {
            return find_class(rule.class_name);
        }
    }
    return nullptr;
}

std::string_view to_string(repeat_rule rule)
{
    return repeat_words.at(static_cast<std::size_t>(rule));
}

json to_json(const configuration& value)
{
    json result;
    result["version"] = value.version;
    result["classes"] = json::array();
    for (const auto& item : value.classes) {
        result["classes"].push_back(
            {{"name", item.name},
             {"team", item.team},
             {"tier", item.tier},
             {"repeat", std::string(to_string(item.repeat))},
             {"key_required", item.key_required},
             {"model", item.model},
             {"is_service", item.is_service},
             {"first_token_target_ms", to_milliseconds(item.first_token_target)},
             {"token_interval_target_ms", to_milliseconds(item.token_interval_target)},
             {"deadline_ms", to_milliseconds(item.deadline)},
             {"longest_run_ms", to_milliseconds(item.longest_run)},
             {"quantum_tokens", item.quantum_tokens},
             {"starvation_bound_ms", to_milliseconds(item.starvation_bound)}});
    }
    result["workspaces"] = json::array();
    for (const auto& item : value.workspaces) {
        json limits = json::array();
        for (const auto& limit : item.limits) {
            limits.push_back({{"class", limit.class_name},
                              {"requests_per_second", limit.requests_per_second},
                              {"burst", limit.burst}});
        }
        result["workspaces"].push_back({{"name", item.name},
                                        {"key_sha256", item.key_sha256},
                                        {"weight", item.weight},
                                        {"limits", std::move(limits)}});
    }
    result["rules"] = json::array();
    for (const auto& item : value.rules) {
        result["rules"].push_back(
            {{"path_prefix", item.path_prefix}, {"model", item.model}, {"class", item.class_name}});
    }
    result["shutdown"] = json::object();
    if (value.shutdown.ends_at) {
        result["shutdown"]["ends_at_unix_ms"] = unix_milliseconds(*value.shutdown.ends_at);
    }
    return result;
}

outcome<configuration> configuration_from_json(std::string_view text)
{
    fault_list faults;
    configuration result;
    const auto document = parse_json_with_comments(text, faults);
    if (!document) {
        return failure(result_code::invalid_configuration, faults.text());
    }
    object_reader reader(*document, "", faults);
    result.version = static_cast<std::uint64_t>(reader.integer("version", 0, INT64_MAX, 0));
    reader.objects(
        "classes",
        [&](const json& item, const std::string& path) {
            result.classes.push_back(read_class(item, path, faults));
        },
        true);
    reader.objects(
        "workspaces",
        [&](const json& item, const std::string& path) {
            result.workspaces.push_back(read_workspace(item, path, faults));
        },
        true);
    reader.objects("rules", [&](const json& item, const std::string& path) {
        result.rules.push_back(read_rule(item, path, faults));
    });
    reader.object("shutdown", [&](const json& item, const std::string& path) {
        object_reader plan(item, path, faults);
        if (plan.has("ends_at_unix_ms")) {
            result.shutdown.ends_at =
                time_point(milliseconds(plan.integer("ends_at_unix_ms", 0, max_unix_milliseconds)));
        }
        plan.finish();
    });
    reader.finish();
    check_references(result, faults);
    if (!faults.empty()) {
        return failure(result_code::invalid_configuration, faults.text());
    }
    return result;
}

std::string configuration_hash(const configuration& value)
{
    return sha256_hex(to_json(value).dump());
}

} // namespace clementinegap
