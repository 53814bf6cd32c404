#include "config/questionnaire.h"

#include <algorithm>
#include <array>
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
    reader.finish();
    return result;
}

caller_answer read_caller(const json& value, const std::string& path, fault_list& faults)
{
    object_reader reader(value, path, faults);
    caller_answer result;
    result.workspace = reader.string("workspace");
    result.key_sha256 = reader.string("key_sha256");
    result.share = reader.number("share", 0.01, 1000, 1.0);
    result.requests_per_second = reader.number("requests_per_second", 0, 1e6, 0.0);
    reader.finish();
    return result;
}

/// The tier that who waits and what lateness does give.
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

request_class class_from(const work_answer& work, const std::string& team)
{
    request_class result;
    const auto profile = profile_of(work.length);
    result.name = work.name;
    result.team = team;
    result.tier = tier_of(work);
    result.repeat = repeat_of(work.repeated);
    result.key_required = work.repeated == repetition_harm::money_or_damage;
    result.model = work.served_by;
    result.is_service = work.is_service;
    result.first_token_target = first_token_target_of(result.tier);
    result.token_interval_target = result.tier <= 1 ? milliseconds(28) : milliseconds(100);
    result.deadline = profile.deadline;
    result.longest_run = profile.longest_run;
    result.quantum_tokens = profile.quantum_tokens;
    result.starvation_bound = seconds(30);
    return result;
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
    configuration result;
    std::map<std::string, std::string> owner_of_class;
    std::string problems;
    for (const auto& team : teams) {
        for (const auto& work : team.work) {
            const auto [owner, fresh] = owner_of_class.emplace(work.name, team.team);
            if (!fresh) {
                problems += "work \"" + work.name + "\" is claimed by team \"" + owner->second +
                            "\" and team \"" + team.team + "\"; rename one of them\n";
                continue;
            }
            result.classes.push_back(class_from(work, team.team));
            if (!work.path.empty()) {
                result.rules.push_back({work.path, "", work.name});
            }
        }
        for (const auto& caller : team.callers) {
            workspace entry{caller.workspace, caller.key_sha256, caller.share, {}};
            if (caller.requests_per_second > 0) {
                entry.limits.push_back(
                    {"", caller.requests_per_second, caller.requests_per_second * burst_seconds});
            }
            result.workspaces.push_back(std::move(entry));
        }
        if (team.ends_at && (!result.shutdown.ends_at || *team.ends_at < *result.shutdown.ends_at)) {
            result.shutdown.ends_at = team.ends_at;
        }
    }
    if (!problems.empty()) {
        return failure(result_code::invalid_questionnaire, problems);
    }
    std::ranges::sort(result.classes, {}, &request_class::name);
    std::ranges::sort(result.workspaces, {}, &workspace::name);
    // The longest prefix is the most specific rule and goes first.
    std::ranges::sort(result.rules, {}, [](const class_rule& rule) {
        return std::tuple(-static_cast<std::ptrdiff_t>(rule.path_prefix.size()), rule.path_prefix,
                          rule.class_name);
    });
    return configuration_from_json(to_json(result).dump());
}

} // namespace clementinegap
