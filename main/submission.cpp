#include "main/submission.h"

#include "config/configuration_diff.h"
#include "config/questionnaire.h"

#include <cstdio>
#include <future>

namespace clementinegap {
namespace {

constexpr duration first_wait = milliseconds(100);
constexpr duration longest_wait = seconds(2);
constexpr const char* configuration_table = "configuration";
constexpr const char* teams_table = "configuration_teams";
constexpr const char* history_table = "configuration_history";
constexpr const char* submissions_table = "configuration_submissions";

/// History keys sort by version.
std::string history_key(std::uint64_t version)
{
    std::string digits = std::to_string(version);
    return std::string(20 - digits.size(), '0') + digits;
}

table_operation put(const char* table, std::string key, std::string value, std::uint64_t revision)
{
    const auto kind = revision == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    return {kind, table, std::move(key), std::move(value), revision};
}

std::string joined(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines) {
        text += "  " + line + "\n";
    }
    return text;
}

team_row team_from(const table_row& row)
{
    const auto document = json::parse(row.value, nullptr, false);
    fault_list faults;
    object_reader reader(document, "", faults);
    team_row result;
    result.answers = reader.string("answers");
    result.version = static_cast<std::uint64_t>(reader.integer("version", 0, INT64_MAX));
    result.revision = row.revision;
    return result;
}

history_row history_from(const table_row& row)
{
    const auto document = json::parse(row.value, nullptr, false);
    fault_list faults;
    object_reader reader(document, "", faults);
    history_row result;
    result.version = static_cast<std::uint64_t>(reader.integer("version", 0, INT64_MAX));
    result.submission = reader.string("submission");
    result.team = reader.string("team");
    result.at_unix_ms = reader.integer("at_unix_ms", 0, INT64_MAX);
    result.changes = reader.strings("changes");
    return result;
}

std::optional<std::uint64_t> version_from(const std::string& value)
{
    const auto document = json::parse(value, nullptr, false);
    if (!document.is_object() || !document.contains("version") || !document["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    return document["version"].get<std::uint64_t>();
}

/// What the team's configuration would change from `before` to `after`.
std::string difference(const std::string& before, const std::string& after)
{
    const auto old_answers = questionnaire_from_text(before);
    const auto new_answers = questionnaire_from_text(after);
    if (!old_answers || !new_answers) {
        return "";
    }
    const auto old_value = generate_configuration({old_answers.value()});
    const auto new_value = generate_configuration({new_answers.value()});
    return old_value && new_value ? joined(describe_changes(old_value.value(), new_value.value())) : "";
}

submission_report accepted(std::uint64_t version)
{
    return {verdict::accepted, version, "accepted as version " + std::to_string(version) + "\n", ""};
}

} // namespace

submitter::submitter(table_port& table, duration patience, wait_function wait)
    : table_(table), patience_(patience), wait_(std::move(wait))
{
}

submission_report submitter::submit(const submission& work)
{
    waited_ = duration::zero();
    next_wait_ = first_wait;
    maybe_written_ = false;
    lost_race_ = false;
    while (true) {
        if (auto report = try_once(work)) {
            return *report;
        }
        if (!pause()) {
            return out_of_patience(work);
        }
    }
}

std::optional<submission_report> submitter::try_once(const submission& work)
{
    // An earlier try may have been taken although its answer was lost.
    if (maybe_written_) {
        const auto found = find_submission(work.id);
        if (!found) {
            return std::nullopt;
        }
        if (*found) {
            return accepted(**found);
        }
    }
    const auto state = read_state();
    if (!state) {
        return std::nullopt;
    }
    if (auto refusal = check_base(work, state.value())) {
        // The first try may have been taken between the two reads.
        const auto found = find_submission(work.id);
        if (!found) {
            return std::nullopt;
        }
        return *found ? accepted(**found) : *refusal;
    }
    auto next = prepare(work, state.value());
    if (!next) {
        return submission_report{verdict::refused, 0, "not accepted:\n" + next.error().message};
    }
    const auto version = next.value().value.version;
    auto report = accepted(version);
    report.configuration_text = to_json(next.value().value).dump();
    const auto answer = transact(std::move(next.value().operations));
    switch (answer.result) {
    case store_result::done:
        return report;
    case store_result::unknown:
        maybe_written_ = true;
        return std::nullopt;
    case store_result::exists:
        // Another change came first; the next try starts from it.
        lost_race_ = true;
        break;
    case store_result::absent:
    case store_result::unavailable:
        lost_race_ = false;
        break;
    }
    return std::nullopt;
}

std::optional<submission_report> submitter::check_base(const submission& work,
                                                       const submitted_state& state) const
{
    const auto found = state.teams.find(work.team);
    const auto present = found == state.teams.end() ? team_row{} : found->second;
    if (present.revision != 0 && present.answers == work.answers) {
        return submission_report{verdict::unchanged, state.head.version,
                                 "nothing to change: these answers are in force since version " +
                                     std::to_string(present.version) + "\n"};
    }
    const auto base = work.based_on.value_or(0);
    if (base == present.version) {
        return std::nullopt;
    }
    std::string text = "not accepted: the answers of team \"" + work.team + "\" ";
    if (present.revision == 0) {
        text += "are not in the table, but these were made from version " + std::to_string(base) + "\n";
    } else {
        text += "were changed with version " + std::to_string(present.version) +
                ", these were made from version " + std::to_string(base) +
                "\nfrom these answers to those in force:\n" + difference(work.answers, present.answers) +
                "see them with: clementinegap questionnaire show " + work.team + "\n";
    }
    return submission_report{verdict::refused, state.head.version, std::move(text)};
}

outcome<submitter::plan> submitter::prepare(const submission& work, const submitted_state& state) const
{
    std::vector<questionnaire> teams;
    BOOST_OUTCOME_TRY(own, questionnaire_from_text(work.answers));
    teams.push_back(std::move(own));
    for (const auto& [name, row] : state.teams) {
        if (name != work.team) {
            BOOST_OUTCOME_TRY(other, questionnaire_from_text(row.answers));
            teams.push_back(std::move(other));
        }
    }
    BOOST_OUTCOME_TRY(value, generate_configuration(teams));
    value.version = std::max(state.head.version, state.current ? state.current->version : 0) + 1;
    const auto changes = describe_changes(state.current.value_or(configuration{}), value);
    const auto found = state.teams.find(work.team);
    const auto team_revision = found == state.teams.end() ? 0 : found->second.revision;
    const json answers{{"answers", work.answers}, {"version", value.version}};
    const json history{{"version", value.version},
                       {"submission", work.id},
                       {"team", work.team},
                       {"at_unix_ms", work.at_unix_ms},
                       {"changes", changes}};
    plan result;
    result.operations = {
        put(configuration_table, "head", to_row({value.version, configuration_hash(value)}),
            state.head_revision),
        put(configuration_table, "current", to_json(value).dump(), state.current_revision),
        put(teams_table, work.team, answers.dump(), team_revision),
        put(history_table, history_key(value.version), history.dump(), 0),
        put(submissions_table, work.id, json{{"version", value.version}}.dump(), 0),
    };
    result.value = std::move(value);
    return result;
}

submission_report submitter::out_of_patience(const submission& work) const
{
    if (!maybe_written_ && lost_race_) {
        return {verdict::refused, 0,
                "not accepted: other changes were accepted first each time; try again\n"};
    }
    if (!maybe_written_) {
        return {verdict::unreached, 0, "not accepted: the platform's table could not be reached in time\n"};
    }
    return {verdict::unknown, 0,
            "unknown: the platform did not say whether it took the change; this tells:\n"
            "  clementinegap config history --submission " +
                work.id + "\n"};
}

std::optional<std::optional<std::uint64_t>> submitter::find_submission(const std::string& id)
{
    const auto answer = read(submissions_table, id);
    if (answer.result == store_result::absent) {
        return std::optional<std::uint64_t>();
    }
    if (answer.result != store_result::done) {
        return std::nullopt;
    }
    return version_from(answer.row.value);
}

outcome<submitted_state> submitter::read_state()
{
    // The head goes first: a change after this read makes the transaction fail.
    const auto unreached = [] {
        return failure(result_code::store_unavailable, "the platform's table cannot be reached");
    };
    submitted_state result;
    const auto head = read(configuration_table, "head");
    const auto current = read(configuration_table, "current");
    const auto teams = scan(teams_table, "");
    const bool is_whole = (head.result == store_result::done || head.result == store_result::absent) &&
                          (current.result == store_result::done || current.result == store_result::absent) &&
                          teams.result == store_result::done;
    if (!is_whole) {
        return unreached();
    }
    result.head_revision = head.row.revision;
    result.head = head_from_row(head.row.value).value_or(head_row{});
    result.current_revision = current.row.revision;
    if (current.result == store_result::done) {
        if (auto value = configuration_from_json(current.row.value)) {
            result.current = std::move(value).value();
        }
    }
    for (const auto& row : teams.rows) {
        result.teams.emplace(row.key, team_from(row));
    }
    return result;
}

outcome<std::vector<history_row>> submitter::read_history()
{
    const auto answer = scan(history_table, "");
    if (answer.result != store_result::done) {
        return failure(result_code::store_unavailable, "the platform's table cannot be reached");
    }
    std::vector<history_row> result;
    for (const auto& row : answer.rows) {
        result.push_back(history_from(row));
    }
    return result;
}

bool submitter::pause()
{
    if (waited_ >= patience_) {
        return false;
    }
    wait_(next_wait_);
    waited_ += next_wait_;
    next_wait_ = std::min(next_wait_ * 2, longest_wait);
    return true;
}

transaction_result submitter::transact(std::vector<table_operation> operations)
{
    std::promise<transaction_result> promise;
    table_.transact(std::move(operations),
                    [&](transaction_result result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

read_result submitter::read(const std::string& table, const std::string& key)
{
    std::promise<read_result> promise;
    table_.read(table, key, [&](read_result result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

scan_result submitter::scan(const std::string& table, const std::string& prefix)
{
    std::promise<scan_result> promise;
    table_.scan(table, prefix, [&](scan_result result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

} // namespace clementinegap
