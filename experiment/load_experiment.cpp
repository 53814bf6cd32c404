#include "experiment/load_experiment.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr std::int64_t max_run_ms = 60000;
constexpr double max_rate = 5000;
constexpr double max_factor = 100;
constexpr int max_upstreams = 48;
constexpr int max_entries = 8;
constexpr int max_slots = 1024;
constexpr std::int64_t max_token_interval_us = 1000000;
constexpr std::int64_t max_output_tokens = 100000;

int small_integer(object_reader& reader, std::string_view name, int high, int fallback)
{
    return static_cast<int>(reader.integer(name, 1, high, fallback));
}

milliseconds moment(object_reader& reader, std::string_view name)
{
    return milliseconds(reader.integer(name, 0, max_run_ms));
}

void read_deployment(const json& value, const std::string& path, deployment_shape& shape, fault_list& faults)
{
    object_reader reader(value, path, faults);
    shape.zones = small_integer(reader, "zones", max_entries, shape.zones);
    shape.entries = small_integer(reader, "entries", max_entries, shape.entries);
    shape.upstreams = small_integer(reader, "upstreams", max_upstreams, shape.upstreams);
    shape.slots = small_integer(reader, "slots", max_slots, shape.slots);
    shape.token_interval = microseconds(
        reader.integer("token_interval_us", 1, max_token_interval_us, shape.token_interval.count()));
    reader.finish();
}

class_demand read_class(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    class_demand result;
    result.name = reader.string("name");
    result.path = reader.string("path", "/v1/chat/completions");
    result.model = reader.string("model", "assistant");
    result.streamed = reader.boolean("streamed", true);
    result.requests_per_second = reader.number("requests_per_second", 0, max_rate);
    result.median_tokens = reader.number("median_tokens", 1, max_output_tokens, result.median_tokens);
    result.sigma = reader.number("sigma", 0, 3, result.sigma);
    result.max_tokens =
        static_cast<std::uint32_t>(reader.integer("max_tokens", 1, max_output_tokens, result.max_tokens));
    result.target = milliseconds(reader.integer("target_ms", 1, max_run_ms));
    reader.finish();
    return result;
}

workspace_demand read_workspace(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    workspace_demand result{reader.string("key"), reader.number("share", 0, max_factor, 1)};
    reader.finish();
    return result;
}

demand_swing read_swing(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    demand_swing result;
    result.from = moment(reader, "from_ms");
    result.to = moment(reader, "to_ms");
    result.factor = reader.number("factor", 0, max_factor);
    result.class_name = reader.string("class", "");
    result.key = reader.string("key", "");
    if (result.to <= result.from) {
        reader.fault("to_ms", std::to_string(to_milliseconds(result.to)), "more than from_ms");
    }
    reader.finish();
    return result;
}

planned_fault read_fault(const json& value, const std::string& path, int upstreams, fault_list& faults)
{
    object_reader reader(value, path, faults);
    planned_fault result;
    result.at = moment(reader, "at_ms");
    result.engine = static_cast<int>(reader.integer("engine", 0, upstreams, 0));
    reader.object(
        "control", [&](const json& body, const std::string&) { result.body = body.dump(); }, true);
    reader.finish();
    return result;
}

planned_replacement read_replacement(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    planned_replacement result{moment(reader, "at_ms"), reader.string("vm")};
    reader.finish();
    return result;
}

void read_poison(const json& value, const std::string& path, load_experiment& result, fault_list& faults)
{
    object_reader reader(value, path, faults);
    result.poison = reader.string("content");
    const auto times = static_cast<int>(reader.integer("times", 1, 100, 5));
    const milliseconds interval(reader.integer("interval_ms", 1, max_run_ms, 1000));
    for (int i = 1; i <= times; ++i) {
        result.poison_sent.push_back(interval * i);
    }
    reader.finish();
}

} // namespace

bool load_experiment::is_crest(duration at) const
{
    return std::ranges::any_of(
        swings, [&](const demand_swing& swing) { return swing.factor > 1 && swing.covers(at); });
}

outcome<load_experiment> load_experiment_from_text(std::string_view text)
{
    fault_list faults;
    const auto document = parse_json_with_comments(text, faults);
    load_experiment result;
    if (document) {
        object_reader reader(*document, "", faults);
        result.name = reader.string("name");
        result.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, INT64_MAX, 1));
        result.run = milliseconds(reader.integer("run_ms", 1, max_run_ms));
        result.settle = milliseconds(reader.integer("settle_ms", 1, max_run_ms, 10000));
        reader.object("deployment", [&](const json& value, const std::string& path) {
            read_deployment(value, path, result.deployment, faults);
        });
        reader.objects(
            "classes",
            [&](const json& value, const std::string& path) {
                result.classes.push_back(read_class(value, path, faults));
            },
            true);
        reader.objects(
            "workspaces",
            [&](const json& value, const std::string& path) {
                result.workspaces.push_back(read_workspace(value, path, faults));
            },
            true);
        reader.objects("swings", [&](const json& value, const std::string& path) {
            result.swings.push_back(read_swing(value, path, faults));
        });
        reader.objects("faults", [&](const json& value, const std::string& path) {
            result.faults.push_back(read_fault(value, path, result.deployment.upstreams, faults));
        });
        reader.objects("replacements", [&](const json& value, const std::string& path) {
            result.replacements.push_back(read_replacement(value, path, faults));
        });
        reader.object("poison", [&](const json& value, const std::string& path) {
            read_poison(value, path, result, faults);
        });
        reader.finish();
    }
    if (!faults.empty()) {
        return failure(result_code::invalid_settings, faults.text());
    }
    return result;
}

} // namespace clementinegap
