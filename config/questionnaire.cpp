#include "config/questionnaire.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>

namespace clementinegap {
namespace {

using namespace std::string_view_literals;

constexpr std::array waiting_words{"person_in_front"sv, "worker_on_site"sv, "office_today"sv, "nobody"sv};
constexpr std::array lateness_words{"work_stops"sv, "person_leaves"sv, "annoyance"sv, "none"sv};
constexpr std::array repetition_words{"money_or_damage"sv, "extra_work"sv, "none"sv, "lookup"sv};
constexpr std::array length_words{"short"sv, "page"sv, "document"sv};
constexpr double burst_seconds = 4;
/// Work of later tiers may wait, so its load is not counted against the targets.
constexpr int last_time_critical_tier = 2;
/// Share of the slots in use up to which arriving work usually finds a free slot.
constexpr double max_utilisation = 0.8;

template <class Enum, std::size_t Size>
Enum read_word(object_reader& reader, std::string_view name, const std::array<std::string_view, Size>& words)
{
    const auto word = reader.choice(name, words);
    return static_cast<Enum>(std::ranges::find(words, word) - words.begin());
}

std::optional<time_point> parse_date(std::string_view text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    if (std::sscanf(std::string(text).c_str(), "%4d-%2u-%2u", &year, &month, &day) != 3) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                           std::chrono::day(day)};
    if (!date.ok() || text.size() != 10) {
        return std::nullopt;
    }
    return time_point(std::chrono::sys_days(date).time_since_epoch());
}

void require_text(object_reader& reader, std::string_view name, const std::string& value)
{
    const bool is_blank = value.find_first_not_of(" \t\r\n") == std::string::npos;
    if (is_blank && reader.has(name)) {
        reader.fault(name, "an empty text", "at least one character");
    }
}

work_answer read_work(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    work_answer result;
    result.name = reader.string("name");
    result.served_by = reader.string("served_by");
    result.is_service = reader.boolean("is_service", false);
    result.who_waits = read_word<waiting_party>(reader, "who_waits", waiting_words);
    result.late = read_word<lateness_harm>(reader, "lateness", lateness_words);
    result.repeated = read_word<repetition_harm>(reader, "repetition", repetition_words);
    result.length = read_word<answer_length>(reader, "answer_length", length_words);
    result.path = reader.string("path", "");
    result.after = reader.strings("after");
    result.peak_requests_per_second = reader.number("peak_requests_per_second", 0, 1e6, 0.0);
    require_text(reader, "name", result.name);
    require_text(reader, "served_by", result.served_by);
    if (!result.path.empty() && !result.path.starts_with('/')) {
        reader.fault("path", "\"" + result.path + "\"", "a path that begins with /");
    }
    reader.finish();
    return result;
}

capacity_answer read_capacity(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    capacity_answer result;
    result.model = reader.string("served_by");
    result.servers = static_cast<int>(reader.integer("servers", 1, 100'000));
    result.requests_at_once = static_cast<int>(reader.integer("requests_at_once", 1, 100'000));
    require_text(reader, "served_by", result.model);
    reader.finish();
    return result;
}

void check_key(object_reader& reader, const std::string& key)
{
    const bool is_sha256 = key.size() == 64 && key.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!is_sha256 && reader.has("key_sha256")) {
        reader.fault("key_sha256", std::to_string(key.size()) + " characters",
                     "the SHA-256 of the key as 64 lower-case hexadecimal digits");
    }
}

caller_answer read_caller(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    caller_answer result;
    result.workspace = reader.string("workspace");
    result.key_sha256 = reader.string("key_sha256");
    require_text(reader, "workspace", result.workspace);
    check_key(reader, result.key_sha256);
    result.share = reader.number("share", 0.01, 1000, 1.0);
    result.requests_per_second = reader.number("requests_per_second", 0, 1e6, 0.0);
    reader.finish();
    return result;
}

/// The tier that results from who waits and the consequence of a late response.
int tier_of(const work_answer& work)
{
    if (work.late == lateness_harm::work_stops) {
        return work.who_waits == waiting_party::nobody ? 2 : 0;
    }
    if (work.late == lateness_harm::person_leaves) {
        return work.who_waits == waiting_party::person_in_front ? 0 : 1;
    }
    if (work.who_waits == waiting_party::nobody || work.late == lateness_harm::none) {
        return max_tiers - 1;
    }
    return work.who_waits == waiting_party::office_today ? 4 : 2;
}

struct length_profile {
    duration deadline;
    duration longest_run;
    std::uint32_t quantum_tokens;
};

length_profile profile_of(answer_length length)
{
    switch (length) {
    case answer_length::short_answer:
        return {seconds(30), seconds(20), 128};
    case answer_length::page:
        return {seconds(120), seconds(60), 256};
    case answer_length::document:
        break;
    }
    return {seconds(3600), seconds(1800), 512};
}

duration first_token_target_of(int tier)
{
    static constexpr std::array targets{milliseconds(330),  milliseconds(500),  milliseconds(1000),
                                        milliseconds(2000), milliseconds(5000), milliseconds(15000),
                                        milliseconds(60000)};
    return targets.at(static_cast<std::size_t>(tier));
}

repeat_rule repeat_of(repetition_harm harm)
{
    switch (harm) {
    case repetition_harm::money_or_damage:
    case repetition_harm::extra_work:
        return repeat_rule::never;
    case repetition_harm::lookup:
        return repeat_rule::idempotent;
    case repetition_harm::none:
        break;
    }
    return repeat_rule::repeatable;
}

void set_tier(request_class& value, int tier)
{
    value.tier = tier;
    value.first_token_target = first_token_target_of(tier);
    value.token_interval_target = tier <= 1 ? milliseconds(28) : milliseconds(100);
}

/// Typical running time of a request in seconds, for the check against the stated capacity.
double typical_seconds_of(answer_length length)
{
    switch (length) {
    case answer_length::short_answer:
        return 2;
    case answer_length::page:
        return 8;
    case answer_length::document:
        break;
    }
    return 60;
}

request_class class_from(const work_answer& work, const std::string& team)
{
    request_class result;
    const auto profile = profile_of(work.length);
    result.name = work.name;
    result.team = team;
    result.repeat = repeat_of(work.repeated);
    result.key_required = work.repeated == repetition_harm::money_or_damage;
    result.model = work.served_by;
    result.is_service = work.is_service;
    result.deadline = profile.deadline;
    result.longest_run = profile.longest_run;
    result.quantum_tokens = profile.quantum_tokens;
    result.starvation_bound = seconds(30);
    return result;
}

struct generated_configuration {
    configuration value;
    std::string problems;
};

/// The team that claims a work, so that messages can name both sides of a conflict.
struct work_owner {
    const work_answer* work{nullptr};
    std::string team;
};
using owner_map = std::map<std::string, work_owner>;

std::string describe_work(const std::string& name, const std::string& team)
{
    return "work \"" + name + "\" of team \"" + team + "\"";
}

owner_map collect_owners(const std::vector<questionnaire>& teams, std::string& problems)
{
    owner_map owners;
    for (const auto& team : teams) {
        for (const auto& work : team.work) {
            const auto [owner, inserted] = owners.emplace(work.name, work_owner{&work, team.team});
            if (!inserted) {
                problems += "work \"" + work.name + "\" is claimed by team \"" + owner->second.team +
                            "\" and team \"" + team.team + "\"; rename one of them\n";
            }
        }
    }
    return owners;
}

/// The tier of a work, taking into account the works it comes after. `chain` holds the works on the current
/// path, to detect cycles.
int ordered_tier(const std::string& name, const owner_map& owners, std::vector<std::string>& chain,
                 std::string& problems)
{
    const auto& owner = owners.at(name);
    if (std::ranges::find(chain, name) != chain.end()) {
        problems += describe_work(name, owner.team) + " comes after " +
                    describe_work(chain.back(), owners.at(chain.back()).team) +
                    " and before it; remove one of the two \"after\"\n";
        return 0;
    }
    chain.push_back(name);
    int tier = tier_of(*owner.work);
    for (const auto& earlier : owner.work->after) {
        if (!owners.contains(earlier)) {
            problems += describe_work(name, owner.team) + " comes after \"" + earlier +
                        "\", which no team has; name a work of the questionnaires\n";
            continue;
        }
        tier = std::max(tier, ordered_tier(earlier, owners, chain, problems) + 1);
    }
    chain.pop_back();
    return tier;
}

int checked_tier(const std::string& name, const owner_map& owners, std::string& problems)
{
    std::vector<std::string> chain;
    std::string found;
    const int tier = ordered_tier(name, owners, chain, found);
    if (!found.empty()) {
        problems += found;
        return 0;
    }
    if (tier < max_tiers) {
        return tier;
    }
    const auto& owner = owners.at(name);
    const auto& earlier = owner.work->after.back();
    problems += describe_work(name, owner.team) + " would need tier " + std::to_string(tier + 1) + " of " +
                std::to_string(max_tiers) + " because it comes after " +
                describe_work(earlier, owners.at(earlier).team) +
                "; remove it from \"after\" or change who waits\n";
    return max_tiers - 1;
}

struct stated_capacity {
    int slots{0};
    std::string team;
};

std::map<std::string, stated_capacity> collect_capacity(const std::vector<questionnaire>& teams,
                                                        std::string& problems)
{
    std::map<std::string, stated_capacity> result;
    for (const auto& team : teams) {
        for (const auto& item : team.capacity) {
            const stated_capacity stated{item.servers * item.requests_at_once, team.team};
            const auto [known, inserted] = result.emplace(item.model, stated);
            if (!inserted && known->second.slots != stated.slots) {
                problems += "capacity of \"" + item.model + "\" is " + std::to_string(known->second.slots) +
                            " requests at once by team \"" + known->second.team + "\" and " +
                            std::to_string(stated.slots) + " by team \"" + team.team +
                            "\"; agree on one number\n";
            }
        }
    }
    return result;
}

/// Targets are met only while work that may not wait finds a free slot, so its load must not exceed the share
/// of the slots above which requests start to queue.
void check_capacity(const std::vector<questionnaire>& teams, const configuration& value,
                    std::string& problems)
{
    const auto capacity = collect_capacity(teams, problems);
    for (const auto& [model, stated] : capacity) {
        double load = 0;
        std::string names;
        for (const auto& team : teams) {
            for (const auto& work : team.work) {
                const auto* rules = value.find_class(work.name);
                const bool may_wait = rules == nullptr || rules->tier > last_time_critical_tier;
                if (work.served_by != model || may_wait || work.peak_requests_per_second <= 0) {
                    continue;
                }
                load += work.peak_requests_per_second * typical_seconds_of(work.length);
                names += (names.empty() ? "" : ", ") + describe_work(work.name, team.team);
            }
        }
        const double usable = stated.slots * max_utilisation;
        if (load > usable) {
            problems += "the targets of " + names + " need " + json(std::ceil(load)).dump() +
                        " requests at once on \"" + model + "\", but the capacity stated by team \"" +
                        stated.team + "\" gives " + json(std::floor(usable)).dump() +
                        "; add servers, lower the peaks, or let some of it wait\n";
        }
    }
}

void check_callers(const std::vector<questionnaire>& teams, std::string& problems)
{
    std::map<std::string, std::string> names;
    std::map<std::string, std::string> keys;
    for (const auto& team : teams) {
        for (const auto& caller : team.callers) {
            const auto [name, name_inserted] = names.emplace(caller.workspace, team.team);
            if (!name_inserted) {
                problems += "workspace \"" + caller.workspace + "\" is claimed by team \"" + name->second +
                            "\" and team \"" + team.team + "\"; rename one of them\n";
            }
            const auto [key, key_inserted] = keys.emplace(caller.key_sha256, caller.workspace);
            if (!key_inserted) {
                problems += "workspaces \"" + key->second + "\" and \"" + caller.workspace +
                            "\" have the same key; give each a key of its own\n";
            }
        }
    }
}

void check_paths(const std::vector<questionnaire>& teams, std::string& problems)
{
    std::map<std::string, std::string> owners;
    for (const auto& team : teams) {
        for (const auto& work : team.work) {
            const auto [owner, inserted] = owners.emplace(work.path, describe_work(work.name, team.team));
            if (!inserted && !work.path.empty()) {
                problems += "path \"" + work.path + "\" is claimed by " + owner->second + " and " +
                            describe_work(work.name, team.team) +
                            "; requests of one of them must name their class\n";
            }
        }
    }
}

void add_caller(const caller_answer& caller, configuration& value)
{
    workspace entry{caller.workspace, caller.key_sha256, caller.share, {}};
    if (caller.requests_per_second > 0) {
        entry.limits.push_back({"", caller.requests_per_second, caller.requests_per_second * burst_seconds});
    }
    value.workspaces.push_back(std::move(entry));
}

void sort_items(configuration& value)
{
    std::ranges::sort(value.classes, {}, &request_class::name);
    std::ranges::sort(value.workspaces, {}, &workspace::name);
    // The longest prefix is the most specific rule and goes first.
    std::ranges::sort(value.rules, {}, [](const class_rule& rule) {
        return std::tuple(-static_cast<std::ptrdiff_t>(rule.path_prefix.size()), rule.path_prefix,
                          rule.class_name);
    });
}

generated_configuration generate(const std::vector<questionnaire>& teams)
{
    generated_configuration result;
    const auto owners = collect_owners(teams, result.problems);
    check_callers(teams, result.problems);
    check_paths(teams, result.problems);
    for (const auto& [name, owner] : owners) {
        auto generated = class_from(*owner.work, owner.team);
        set_tier(generated, checked_tier(name, owners, result.problems));
        result.value.classes.push_back(std::move(generated));
        if (!owner.work->path.empty()) {
            result.value.rules.push_back({owner.work->path, "", name});
        }
    }
    for (const auto& team : teams) {
        for (const auto& caller : team.callers) {
            add_caller(caller, result.value);
        }
        auto& ends_at = result.value.shutdown.ends_at;
        if (team.ends_at && (!ends_at || *team.ends_at < *ends_at)) {
            ends_at = team.ends_at;
        }
    }
    check_capacity(teams, result.value, result.problems);
    sort_items(result.value);
    return result;
}

template <std::size_t Size>
std::string quoted(const std::array<std::string_view, Size>& words, std::size_t index)
{
    return "\"" + std::string(words.at(index)) + "\"";
}

void explain_class(const request_class& value, const work_answer& work, std::vector<explanation>& lines)
{
    const auto path = "classes." + value.name + ".";
    const auto waits = "who_waits " + quoted(waiting_words, static_cast<std::size_t>(work.who_waits)) +
                       " and lateness " + quoted(lateness_words, static_cast<std::size_t>(work.late));
    const auto repetition = "repetition " + quoted(repetition_words, static_cast<std::size_t>(work.repeated));
    const auto length = "answer_length " + quoted(length_words, static_cast<std::size_t>(work.length));
    std::string tier_reason = waits;
    for (const auto& earlier : work.after) {
        tier_reason += ", after \"" + earlier + "\"";
    }
    const auto add = [&](const char* name, std::string value_text, const std::string& because) {
        lines.push_back({path + name, std::move(value_text), because});
    };
    add("tier", std::to_string(value.tier), tier_reason);
    add("first_token_target_ms", std::to_string(to_milliseconds(value.first_token_target)), tier_reason);
    add("token_interval_target_ms", std::to_string(to_milliseconds(value.token_interval_target)),
        tier_reason);
    add("repeat", std::string(to_string(value.repeat)), repetition);
    add("key_required", value.key_required ? "true" : "false", repetition);
    add("deadline_ms", std::to_string(to_milliseconds(value.deadline)), length);
    add("longest_run_ms", std::to_string(to_milliseconds(value.longest_run)), length);
    add("quantum_tokens", std::to_string(value.quantum_tokens), length);
    add("model", value.model, "served_by \"" + work.served_by + "\"");
}

void explain_caller(const caller_answer& caller, std::vector<explanation>& lines)
{
    const auto path = "workspaces." + caller.workspace + ".";
    lines.push_back({path + "weight", json(caller.share).dump(), "share " + json(caller.share).dump()});
    if (caller.requests_per_second > 0) {
        const auto rate = json(caller.requests_per_second).dump();
        lines.push_back({path + "limits", rate + " requests a second",
                         "requests_per_second " + rate + ", with a burst of " + json(burst_seconds).dump() +
                             " seconds of it"});
    }
}

} // namespace

outcome<questionnaire> questionnaire_from_text(std::string_view text)
{
    fault_list faults;
    questionnaire result;
    const auto document = parse_json_with_comments(text, faults);
    if (!document) {
        return failure(result_code::invalid_questionnaire, faults.text());
    }
    object_reader reader(*document, "", faults);
    result.team = reader.string("team");
    require_text(reader, "team", result.team);
    if (reader.has("based_on")) {
        result.based_on = static_cast<std::uint64_t>(reader.integer("based_on", 0, INT64_MAX));
    }
    reader.objects(
        "work",
        [&](const json& item, const std::string& path) {
            result.work.push_back(read_work(item, path, faults));
        },
        true);
    reader.objects(
        "callers",
        [&](const json& item, const std::string& path) {
            result.callers.push_back(read_caller(item, path, faults));
        },
        true);
    reader.objects("capacity", [&](const json& item, const std::string& path) {
        result.capacity.push_back(read_capacity(item, path, faults));
    });
    if (result.work.empty() && reader.has("work")) {
        reader.fault("work", "no work", "at least one kind of work");
    }
    if (result.callers.empty() && reader.has("callers")) {
        reader.fault("callers", "no caller", "at least one workspace that calls");
    }
    const auto date = reader.string("service_ends", "");
    if (!date.empty()) {
        result.ends_at = parse_date(date);
        if (!result.ends_at) {
            reader.fault("service_ends", "\"" + date + "\"", "a date as YYYY-MM-DD");
        }
    }
    reader.finish();
    if (!faults.empty()) {
        return failure(result_code::invalid_questionnaire, faults.text());
    }
    return result;
}

outcome<configuration> generate_configuration(const std::vector<questionnaire>& teams)
{
    const auto generated = generate(teams);
    if (!generated.problems.empty()) {
        return failure(result_code::invalid_questionnaire, generated.problems);
    }
    return configuration_from_json(to_json(generated.value).dump());
}

outcome<std::vector<explanation>> explain_configuration(const std::vector<questionnaire>& teams)
{
    const auto generated = generate(teams);
    if (!generated.problems.empty()) {
        return failure(result_code::invalid_questionnaire, generated.problems);
    }
    std::vector<explanation> lines;
    for (const auto& team : teams) {
        for (const auto& work : team.work) {
            explain_class(*generated.value.find_class(work.name), work, lines);
        }
        for (const auto& caller : team.callers) {
            explain_caller(caller, lines);
        }
        if (team.ends_at && team.ends_at == generated.value.shutdown.ends_at) {
            lines.push_back({"shutdown.ends_at_unix_ms",
                             std::to_string(to_milliseconds(team.ends_at->time_since_epoch())),
                             "team \"" + team.team + "\" answered service_ends, the earliest date of all"});
        }
    }
    return lines;
}

} // namespace clementinegap
