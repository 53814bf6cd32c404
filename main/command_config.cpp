#include "main/command_config.h"

#include "adapters/platform_client.h"
#include "config/head_row.h"
#include "config/questionnaire.h"
#include "main/settings.h"

#include <cstdio>
#include <future>

namespace clementinegap {
namespace {

constexpr duration platform_timeout = seconds(5);

exit_code fail_usage(const std::string& text)
{
    std::fprintf(stderr, "%s\n", text.c_str());
    return exit_code::usage;
}

outcome<configuration> generate(const std::vector<std::string>& files)
{
    std::vector<questionnaire> teams;
    for (const auto& file : files) {
        BOOST_OUTCOME_TRY(text, read_file(file));
        BOOST_OUTCOME_TRY(answers, questionnaire_from_text(text));
        teams.push_back(std::move(answers));
    }
    return generate_configuration(teams);
}

table_row read_row(platform_client& platform, const std::string& key)
{
    std::promise<read_result> promise;
    platform.read("configuration", key, [&](read_result result) { promise.set_value(std::move(result)); });
    const auto result = promise.get_future().get();
    return result.result == store_result::done ? result.row : table_row{};
}

exit_code submit(const std::string& platform_url, const std::vector<std::string>& files)
{
    auto generated = generate(files);
    if (!generated) {
        return fail_usage(generated.error().message);
    }
    platform_client platform(platform_url, platform_timeout);
    const auto current = read_row(platform, "current");
    auto value = std::move(generated).value();
    value.version = 1;
    if (current.revision != 0) {
        const auto before = configuration_from_json(current.value);
        value.version = before ? before.value().version + 1 : 1;
    }
    const auto kind = current.revision == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    std::promise<transaction_result> promise;
    const auto head = read_row(platform, "head");
    const auto head_kind =
        head.revision == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    platform.transact({{kind, "configuration", "current", to_json(value).dump(), current.revision},
                       {head_kind, "configuration", "head",
                        to_row({value.version, configuration_hash(value)}), head.revision}},
                      [&](transaction_result result) { promise.set_value(std::move(result)); });
    switch (promise.get_future().get().result) {
    case store_result::done:
        std::printf("accepted as version %llu\n", static_cast<unsigned long long>(value.version));
        return exit_code::ok;
    case store_result::exists:
        std::fprintf(stderr, "not accepted: another change was accepted first\n");
        return exit_code::refused;
    case store_result::unavailable:
    case store_result::absent:
        std::fprintf(stderr, "not accepted: the platform cannot be reached\n");
        return exit_code::unreachable;
    case store_result::unknown:
        break;
    }
    std::fprintf(stderr, "unknown: the answer was lost; see: clementinegap config show\n");
    return exit_code::unknown;
}

} // namespace

exit_code config_command(const std::vector<std::string>& words)
{
    const auto usage =
        "usage: clementinegap config generate FILE... | submit PLATFORM_URL FILE... | show PLATFORM_URL";
    if (words.size() < 2) {
        return fail_usage(usage);
    }
    if (words[0] == "generate") {
        const auto result = generate({words.begin() + 1, words.end()});
        if (!result) {
            return fail_usage(result.error().message);
        }
        std::printf("%s\n", to_json(result.value()).dump(4).c_str());
        return exit_code::ok;
    }
    if (words[0] == "submit" && words.size() > 2) {
        return submit(words[1], {words.begin() + 2, words.end()});
    }
    if (words[0] == "show") {
        platform_client platform(words[1], platform_timeout);
        std::printf("%s\n", read_row(platform, "current").value.c_str());
        return exit_code::ok;
    }
    return fail_usage(usage);
}

exit_code questionnaire_command(const std::vector<std::string>& words)
{
    if (words.size() != 2 || words[0] != "check") {
        return fail_usage("usage: clementinegap questionnaire check FILE");
    }
    const auto text = read_file(words[1]);
    if (!text) {
        return fail_usage(text.error().message);
    }
    const auto answers = questionnaire_from_text(text.value());
    if (!answers) {
        return fail_usage(answers.error().message);
    }
    std::puts("the questionnaire is valid");
    return exit_code::ok;
}

} // namespace clementinegap
