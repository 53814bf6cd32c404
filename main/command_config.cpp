#include "main/command_config.h"

#include "adapters/platform_client.h"
#include "config/configuration_diff.h"
#include "config/empty_questionnaire.h"
#include "config/questionnaire.h"
#include "core/digest.h"
#include "main/config_options.h"
#include "main/configuration_push.h"
#include "main/settings.h"
#include "main/submission.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <future>
#include <map>
#include <random>
#include <thread>

namespace clementinegap {
namespace {

constexpr duration platform_timeout = seconds(2);
constexpr duration push_patience = seconds(1);
constexpr std::size_t pushed_daemons = 3;
constexpr const char* usage =
    "usage: clementinegap config generate [--explain] FILE...\n"
    "       clementinegap config check FILE...\n"
    "       clementinegap config diff --platform URL FILE\n"
    "       clementinegap config submit --platform URL [--based-on VERSION] FILE...\n"
    "       clementinegap config show --platform URL\n"
    "       clementinegap config history --platform URL [--submission ID]\n"
    "       clementinegap questionnaire new\n"
    "       clementinegap questionnaire check FILE\n"
    "       clementinegap questionnaire show --platform URL TEAM";

exit_code fail(exit_code code, const std::string& text)
{
    std::fprintf(stderr, "%s%s", text.c_str(), text.ends_with('\n') ? "" : "\n");
    return code;
}

void wait_for(duration span)
{
    std::this_thread::sleep_for(span);
}

std::int64_t unix_now_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string new_submission_id()
{
    std::random_device device;
    return sha256_hex(std::to_string(device()) + std::to_string(device()) + std::to_string(unix_now_ms()))
        .substr(0, 16);
}

/// A platform and the submitter over it.
struct platform_session {
    explicit platform_session(const config_options& options)
        : client(options.platform, platform_timeout), table(client, options.patience, wait_for)
    {
    }
    platform_client client;
    submitter table;
};

outcome<std::vector<questionnaire>> read_teams(const std::vector<std::string>& files)
{
    std::vector<questionnaire> teams;
    for (const auto& file : files) {
        BOOST_OUTCOME_TRY(text, read_file(file));
        auto answers = questionnaire_from_text(text);
        if (!answers) {
            return failure(answers.error().code, file + ":\n" + answers.error().message);
        }
        teams.push_back(std::move(answers).value());
    }
    return teams;
}

void print_explanation(const std::vector<explanation>& lines, bool as_json)
{
    json document = json::array();
    for (const auto& line : lines) {
        if (as_json) {
            document.push_back({{"path", line.path}, {"value", line.value}, {"because", line.because}});
        } else {
            std::printf("%s = %s: %s\n", line.path.c_str(), line.value.c_str(), line.because.c_str());
        }
    }
    if (as_json) {
        std::printf("%s\n", document.dump(4).c_str());
    }
}

exit_code generate_files(const config_options& options, const std::vector<std::string>& files)
{
    const auto teams = read_teams(files);
    if (!teams) {
        return fail(exit_code::usage, teams.error().message);
    }
    if (options.explain) {
        const auto lines = explain_configuration(teams.value());
        if (!lines) {
            return fail(exit_code::usage, lines.error().message);
        }
        print_explanation(lines.value(), options.as_json);
        return exit_code::ok;
    }
    const auto value = generate_configuration(teams.value());
    if (!value) {
        return fail(exit_code::usage, value.error().message);
    }
    std::printf("%s\n", to_json(value.value()).dump(4).c_str());
    return exit_code::ok;
}

/// A file with classes is a configuration; others are questionnaires, checked as one deployment.
exit_code check_files(const std::vector<std::string>& files)
{
    std::vector<std::string> questionnaires;
    for (const auto& file : files) {
        const auto text = read_file(file);
        if (!text) {
            return fail(exit_code::usage, text.error().message);
        }
        fault_list ignored;
        const auto document = parse_json_with_comments(text.value(), ignored);
        if (!document || !document->is_object() || !document->contains("classes")) {
            questionnaires.push_back(file);
            continue;
        }
        const auto value = configuration_from_json(text.value());
        if (!value) {
            return fail(exit_code::usage, file + ":\n" + value.error().message);
        }
    }
    const auto teams = read_teams(questionnaires);
    if (!teams) {
        return fail(exit_code::usage, teams.error().message);
    }
    const auto value = generate_configuration(teams.value());
    if (!questionnaires.empty() && !value) {
        return fail(exit_code::usage, value.error().message);
    }
    std::puts("valid");
    return exit_code::ok;
}

exit_code diff_file(const config_options& options, const std::string& file)
{
    const auto teams = read_teams({file});
    if (!teams) {
        return fail(exit_code::usage, teams.error().message);
    }
    platform_session session(options);
    const auto state = session.table.read_state();
    if (!state) {
        return fail(exit_code::unreachable, state.error().message);
    }
    std::vector<questionnaire> all{teams.value()};
    for (const auto& [name, row] : state.value().teams) {
        auto answers = questionnaire_from_text(row.answers);
        if (name != teams.value().front().team && answers) {
            all.push_back(std::move(answers).value());
        }
    }
    const auto value = generate_configuration(all);
    if (!value) {
        return fail(exit_code::usage, value.error().message);
    }
    const auto lines = describe_changes(state.value().current.value_or(configuration{}), value.value());
    if (options.as_json) {
        std::printf("%s\n", json(lines).dump(4).c_str());
        return exit_code::ok;
    }
    for (const auto& line : lines) {
        std::puts(line.c_str());
    }
    if (lines.empty()) {
        std::puts("nothing would change");
    }
    return exit_code::ok;
}

exit_code code_of(verdict what)
{
    switch (what) {
    case verdict::accepted:
    case verdict::unchanged:
        return exit_code::ok;
    case verdict::refused:
        return exit_code::refused;
    case verdict::unreached:
        return exit_code::unreachable;
    case verdict::unknown:
        break;
    }
    return exit_code::unknown;
}

/// A few daemons over the whole list, to hand an accepted configuration to.
std::vector<std::string> daemon_addresses(platform_client& platform)
{
    std::promise<std::vector<std::string>> promise;
    platform.list_vms([&](const std::optional<std::vector<listed_vm>>& vms) {
        std::vector<std::string> addresses;
        for (const auto& vm : vms.value_or(std::vector<listed_vm>{})) {
            if (!vm.leaving && !vm.address.empty()) {
                addresses.push_back(vm.address);
            }
        }
        promise.set_value(std::move(addresses));
    });
    auto all = promise.get_future().get();
    std::ranges::shuffle(all, std::mt19937_64(std::random_device{}()));
    all.resize(std::min(all.size(), pushed_daemons));
    return all;
}

exit_code submit_file(platform_session& session, const config_options& options, const std::string& file)
{
    const auto text = read_file(file);
    if (!text) {
        return fail(exit_code::usage, text.error().message);
    }
    const auto answers = questionnaire_from_text(text.value());
    if (!answers) {
        return fail(exit_code::usage, file + ":\n" + answers.error().message);
    }
    submission work;
    work.id = new_submission_id();
    work.team = answers.value().team;
    work.answers = text.value();
    work.based_on = options.based_on ? options.based_on : answers.value().based_on;
    work.at_unix_ms = unix_now_ms();
    // Read beforehand: the platform may be gone right after it has taken the change.
    const auto daemons = daemon_addresses(session.client);
    const auto report = session.table.submit(work);
    if (!report.configuration_text.empty() && !daemons.empty()) {
        const configuration_head head{report.version, sha256_hex(report.configuration_text)};
        (void)push_configuration(daemons, {options.ca_file, options.certificate_file, options.key_file}, head,
                                 report.configuration_text, push_patience);
    }
    const auto code = code_of(report.what);
    if (code != exit_code::ok) {
        return fail(code, report.text);
    }
    std::printf("%s", report.text.c_str());
    return code;
}

exit_code submit_files(const config_options& options, const std::vector<std::string>& files)
{
    platform_session session(options);
    for (const auto& file : files) {
        const auto code = submit_file(session, options, file);
        if (code != exit_code::ok) {
            return code;
        }
    }
    return exit_code::ok;
}

exit_code show_current(const config_options& options)
{
    platform_session session(options);
    const auto state = session.table.read_state();
    if (!state) {
        return fail(exit_code::unreachable, state.error().message);
    }
    if (!state.value().current) {
        return fail(exit_code::refused, "no configuration was submitted yet");
    }
    std::printf("%s\n", to_json(*state.value().current).dump(4).c_str());
    return exit_code::ok;
}

exit_code show_submission(platform_session& session, const std::string& id)
{
    const auto found = session.table.find_submission(id);
    if (!found) {
        return fail(exit_code::unreachable, "the platform's table cannot be reached");
    }
    if (!*found) {
        return fail(exit_code::refused, "not accepted: no such submission is in the table");
    }
    std::printf("accepted as version %llu\n", static_cast<unsigned long long>(**found));
    return exit_code::ok;
}

exit_code show_history(const config_options& options)
{
    platform_session session(options);
    if (!options.submission.empty()) {
        return show_submission(session, options.submission);
    }
    const auto rows = session.table.read_history();
    if (!rows) {
        return fail(exit_code::unreachable, rows.error().message);
    }
    json document = json::array();
    for (const auto& row : rows.value()) {
        document.push_back({{"version", row.version},
                            {"submission", row.submission},
                            {"team", row.team},
                            {"at_unix_ms", row.at_unix_ms},
                            {"changes", row.changes}});
        if (!options.as_json) {
            std::printf("version %llu, team %s, submission %s, %zu changes\n",
                        static_cast<unsigned long long>(row.version), row.team.c_str(),
                        row.submission.c_str(), row.changes.size());
        }
    }
    if (options.as_json) {
        std::printf("%s\n", document.dump(4).c_str());
    }
    return exit_code::ok;
}

exit_code show_answers(const config_options& options, const std::string& team)
{
    platform_session session(options);
    const auto state = session.table.read_state();
    if (!state) {
        return fail(exit_code::unreachable, state.error().message);
    }
    const auto found = state.value().teams.find(team);
    if (found == state.value().teams.end()) {
        return fail(exit_code::refused, "no answers of team \"" + team + "\" are in the table");
    }
    std::printf("// Submit changes of these answers with: --based-on %llu\n%s",
                static_cast<unsigned long long>(found->second.version), found->second.answers.c_str());
    return exit_code::ok;
}

} // namespace

exit_code config_command(const parsed_words& words)
{
    const auto options = config_options_from(words);
    if (!options) {
        return fail(exit_code::usage, usage);
    }
    const auto name = options->arguments.front();
    const std::vector<std::string> files(options->arguments.begin() + 1, options->arguments.end());
    const bool has_platform = !options->platform.empty();
    if (name == "generate" && !files.empty()) {
        return generate_files(*options, files);
    }
    if (name == "check" && !files.empty()) {
        return check_files(files);
    }
    if (name == "diff" && has_platform && files.size() == 1) {
        return diff_file(*options, files.front());
    }
    if (name == "submit" && has_platform && !files.empty()) {
        return submit_files(*options, files);
    }
    if (name == "show" && has_platform) {
        return show_current(*options);
    }
    if (name == "history" && has_platform) {
        return show_history(*options);
    }
    return fail(exit_code::usage, usage);
}

exit_code questionnaire_command(const parsed_words& words)
{
    const auto options = config_options_from(words);
    if (!options) {
        return fail(exit_code::usage, usage);
    }
    const auto& arguments = options->arguments;
    if (arguments[0] == "new") {
        std::printf("%s", std::string(empty_questionnaire()).c_str());
        return exit_code::ok;
    }
    if (arguments[0] == "check" && arguments.size() == 2) {
        const auto teams = read_teams({arguments[1]});
        const auto value =
            teams ? generate_configuration(teams.value()) : outcome<configuration>(teams.error());
        if (!value) {
            return fail(exit_code::usage, value.error().message);
        }
        std::puts("the questionnaire is valid");
        return exit_code::ok;
    }
    if (arguments[0] == "show" && arguments.size() == 2 && !options->platform.empty()) {
        return show_answers(*options, arguments[1]);
    }
    return fail(exit_code::usage, usage);
}

} // namespace clementinegap
