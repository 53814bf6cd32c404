#include "simulation/simulation_plan.h"

#include "routing/scaled_duration.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr double most_seconds = 600;
constexpr double most_ms = 600000;
constexpr double most_tokens = 1e7;
constexpr double most_rate = 1e5;
constexpr std::int64_t most_parts = 1000000;
constexpr std::int64_t most_engines = 1000;
constexpr std::int64_t most_routers = 400;

duration read_ms(object_reader& reader, std::string_view name, duration fallback)
{
    const double value = std::chrono::duration<double, std::milli>(fallback).count();
    return scaled(milliseconds(1), reader.number(name, 0, most_ms, value));
}

std::uint32_t small_count(object_reader& reader, std::string_view name, std::int64_t most,
                          std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(reader.integer(name, 1, most, fallback));
}

size_distribution read_size(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    size_distribution result;
    result.mean = reader.number("mean", 1, most_tokens);
    result.sigma = reader.number("sigma", 0, 3, 0);
    result.most = reader.number("most", 1, most_tokens, most_tokens);
    reader.finish();
    return result;
}

engine_figures read_engine(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    engine_figures result;
    result.slots = small_count(reader, "slots", most_parts, result.slots);
    result.queue = small_count(reader, "queue", most_parts, static_cast<std::uint32_t>(result.queue));
    result.memory_tokens = static_cast<std::uint64_t>(
        reader.integer("memory_tokens", 1, 1LL << 40, static_cast<std::int64_t>(result.memory_tokens)));
    result.tokens_per_event = small_count(reader, "tokens_per_event", 1000, result.tokens_per_event);
    result.chunk_tokens = small_count(reader, "chunk_tokens", most_parts, result.chunk_tokens);
    result.step = read_ms(reader, "step_ms", result.step);
    result.step_per_stream = read_ms(reader, "step_ms_per_stream", result.step_per_stream);
    result.context_us_per_1000_tokens =
        reader.number("context_us_per_1000_tokens", 0, most_ms, result.context_us_per_1000_tokens);
    result.prompt_tokens_per_ms =
        reader.number("prompt_tokens_per_ms", 0.001, most_ms, result.prompt_tokens_per_ms);
    result.copied_tokens_per_ms =
        reader.number("copied_tokens_per_ms", 0, most_tokens, result.copied_tokens_per_ms);
    result.attention_ms_per_million =
        reader.number("attention_ms_per_million", 0, most_ms, result.attention_ms_per_million);
    reader.finish();
    return result;
}

generation_kind read_kind(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    generation_kind result;
    result.name = reader.string("name");
    result.requests_per_second = reader.number("requests_per_second", 0, most_rate);
    result.priority = static_cast<std::uint8_t>(reader.integer("priority", 0, 9, 0));
    result.objective = read_ms(reader, "objective_ms", result.objective);
    result.max_gap = read_ms(reader, "max_gap_ms", result.max_gap);
    result.deadline = read_ms(reader, "deadline_ms", result.deadline);
    result.resumable = reader.boolean("resumable", false);
    result.worth = reader.number("worth", 0, 1000, result.worth);
    result.late_worth = reader.number("late_worth", 0, 1000, result.late_worth);
    reader.objects("levels", [&](const json& level, const std::string& at) {
        object_reader fields(level, at, faults);
        shared_level added;
        added.parts = small_count(fields, "parts", most_parts, 1);
        fields.object(
            "tokens",
            [&](const json& size, const std::string& of) { added.tokens = read_size(size, of, faults); },
            true);
        fields.finish();
        result.levels.push_back(added);
    });
    result.session_skew = reader.number("session_skew", 0, 3, result.session_skew);
    const auto size_of = [&](std::string_view name, size_distribution& target) {
        reader.object(
            name, [&](const json& size, const std::string& at) { target = read_size(size, at, faults); },
            true);
    };
    size_of("prompt_tokens", result.prompt_tokens);
    size_of("events", result.events);
    result.hint_sigma = reader.number("hint_sigma", 0, 3, result.hint_sigma);
    reader.finish();
    return result;
}

load_swell read_swell(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    load_swell result;
    result.kind = reader.string("kind", "");
    result.from = read_ms(reader, "from_ms", {});
    result.to = read_ms(reader, "to_ms", {});
    result.factor = reader.number("factor", 0, 1000);
    reader.finish();
    return result;
}

engine_outage read_outage(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    engine_outage result;
    result.at = read_ms(reader, "at_ms", {});
    result.lasts = read_ms(reader, "lasts_ms", result.lasts);
    result.engines = small_count(reader, "engines", most_engines, 1);
    reader.finish();
    return result;
}

void read_weights(object_reader& reader, prompt_affinity& weights)
{
    weights.session_engines = small_count(reader, "session_engines", most_engines,
                                          static_cast<std::uint32_t>(weights.session_engines));
    weights.further_engine_cost = read_ms(reader, "further_engine_ms", weights.further_engine_cost);
    weights.prefix.reread_weight = reader.number("reread_weight", 0, 1000, weights.prefix.reread_weight);
    weights.prefix.delay_share = reader.number("delay_share", 0, 1000, weights.prefix.delay_share);
    weights.prefix.copy_weight = reader.number("copy_weight", 0, 1000, weights.prefix.copy_weight);
    weights.disturbance_cost = read_ms(reader, "disturbance_ms", weights.disturbance_cost);
    weights.cost_per_stream = read_ms(reader, "ms_per_stream", weights.cost_per_stream);
    weights.full_engine_cost = read_ms(reader, "full_engine_ms", weights.full_engine_cost);
}

tried_placement read_placement(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    tried_placement result;
    const auto rule = reader.choice("rule", placement_rule_names);
    result.name = reader.string("name", rule);
    result.rule = placement_rule_named(rule);
    if (auto* weights = std::get_if<prompt_affinity>(&result.rule)) {
        read_weights(reader, *weights);
    }
    reader.finish();
    return result;
}

} // namespace

outcome<simulation_plan> simulation_plan_from_text(std::string_view text)
{
    fault_list faults;
    const auto document = parse_json_with_comments(text, faults);
    if (!document) {
        return failure(result_code::invalid_settings, faults.text());
    }
    simulation_plan result;
    object_reader reader(*document, "", faults);
    result.name = reader.string("name");
    result.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, 1LL << 40, 1));
    result.run = scaled(seconds(1), reader.number("run_s", 1, most_seconds, 30));
    result.zones = small_count(reader, "zones", 100, 1);
    result.routers = small_count(reader, "routers", most_routers, 4);
    result.engines = small_count(reader, "engines", most_engines, 12);
    reader.object("engine", [&](const json& value, const std::string& path) {
        result.engine = read_engine(value, path, faults);
    });
    result.between_zones = read_ms(reader, "between_zones_ms", result.between_zones);
    result.to_callers = read_ms(reader, "to_callers_ms", result.to_callers);
    result.report_interval = read_ms(reader, "report_interval_ms", result.report_interval);
    result.wave_swing = reader.number("wave_swing", 0, 1, result.wave_swing);
    result.wave_period = scaled(seconds(1), reader.number("wave_period_s", 0.1, most_seconds, 13));
    result.clump = reader.number("clump", 1, 1000, result.clump);
    reader.objects("workspaces", [&](const json& value, const std::string& path) {
        object_reader fields(value, path, faults);
        result.workspace_priorities.push_back(
            static_cast<std::uint8_t>(fields.integer("priority", 0, UINT8_MAX)));
        fields.finish();
    });
    reader.objects(
        "kinds",
        [&](const json& value, const std::string& path) {
            result.kinds.push_back(read_kind(value, path, faults));
        },
        true);
    reader.objects("swells", [&](const json& value, const std::string& path) {
        result.swells.push_back(read_swell(value, path, faults));
    });
    reader.objects("outages", [&](const json& value, const std::string& path) {
        result.outages.push_back(read_outage(value, path, faults));
    });
    reader.objects("placements", [&](const json& value, const std::string& path) {
        result.placements.push_back(read_placement(value, path, faults));
    });
    reader.finish();
    if (!faults.empty()) {
        return failure(result_code::invalid_settings, faults.text());
    }
    if (result.placements.empty()) {
        result.placements = {{"prompt_affinity", prompt_affinity{}}, {"least_in_flight", least_in_flight{}}};
    }
    return result;
}

} // namespace clementinegap
