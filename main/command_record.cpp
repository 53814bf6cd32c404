#include "main/command_record.h"

#include "adapters/platform_client.h"
#include "adapters/run_record_codec.h"

#include <cstdio>
#include <future>

namespace clementinegap {
namespace {

constexpr duration platform_timeout = seconds(5);

read_result read_row(platform_client& platform, const std::string& key)
{
    std::promise<read_result> promise;
    platform.read(std::string(run_table), key,
                  [&](read_result result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

store_result change_row(platform_client& platform, table_operation operation)
{
    std::promise<transaction_result> promise;
    platform.transact({std::move(operation)},
                      [&](transaction_result result) { promise.set_value(std::move(result)); });
    return promise.get_future().get().result;
}

void print(const run_record& record, bool as_json)
{
    if (as_json) {
        std::printf("%s\n", run_record_to_text(record).c_str());
        return;
    }
    std::printf("workspace    %s\nkey          %s\nphase        %s\nupstream     %s (incarnation %llu)\n",
                record.workspace.c_str(), record.key.c_str(),
                record.phase == run_phase::finished ? "finished" : "started, outcome not on record",
                record.upstream.c_str(), static_cast<unsigned long long>(record.incarnation));
    std::printf("code         %d %s\nanswer       %s\n", static_cast<int>(record.code),
                std::string(describe(record.code).name).c_str(),
                record.answer ? (std::to_string(record.answer->body.size()) + " bytes").c_str() : "not kept");
}

/// The change that settles the record; nothing for a word that is not known.
std::optional<table_operation> settlement(const std::string& word, const table_row& row, run_record record)
{
    if (word == "not-run") {
        return table_operation{table_operation::kind::erase, std::string(run_table), row.key, "",
                               row.revision};
    }
    if (word == "ran") {
        record.phase = run_phase::finished;
        record.code = result_code::ok; // Without an answer: resends are told that it ran, and no more.
        return table_operation{table_operation::kind::replace, std::string(run_table), row.key,
                               run_record_to_text(record), row.revision};
    }
    return std::nullopt;
}

exit_code told(store_result result)
{
    switch (result) {
    case store_result::done:
        std::puts("settled");
        return exit_code::ok;
    case store_result::exists:
        std::fputs("not settled: the record changed meanwhile; look at it again\n", stderr);
        return exit_code::refused;
    case store_result::absent:
    case store_result::unavailable:
        std::fputs("not settled: the platform cannot be reached\n", stderr);
        return exit_code::unreachable;
    case store_result::unknown:
        break;
    }
    std::fputs("unknown: the answer was lost; look with: clementinegap record show\n", stderr);
    return exit_code::unknown;
}

} // namespace

exit_code record_command(const parsed_words& words)
{
    const auto& given = words.positionals();
    const bool resolves = !given.empty() && given[0] == "resolve";
    if (given.size() != 3 || !words.has("platform") || (!resolves && given[0] != "show") ||
        (resolves && !words.has("as"))) {
        std::fputs("usage: clementinegap record show WORKSPACE KEY --platform URL\n"
                   "       clementinegap record resolve WORKSPACE KEY --as ran|not-run --platform URL\n",
                   stderr);
        return exit_code::usage;
    }
    platform_client platform(words.value("platform"), platform_timeout);
    const auto found = read_row(platform, run_row_key(given[1], given[2]));
    if (found.result != store_result::done) {
        const bool absent = found.result == store_result::absent;
        std::fputs(absent ? "no record under this key\n" : "the platform cannot be reached\n", stderr);
        return absent ? exit_code::refused : exit_code::unreachable;
    }
    const auto record = run_record_from_text(found.row.value);
    if (!record) {
        std::fputs("the record cannot be read\n", stderr);
        return exit_code::refused;
    }
    if (!resolves) {
        print(*record, words.has("json"));
        return exit_code::ok;
    }
    if (record->phase == run_phase::finished) {
        std::fputs("the outcome is on record; there is nothing to settle\n", stderr);
        return exit_code::refused;
    }
    auto change = settlement(words.value("as"), found.row, *record);
    if (!change) {
        std::fputs("--as takes ran or not-run\n", stderr);
        return exit_code::usage;
    }
    return told(change_row(platform, std::move(*change)));
}

} // namespace clementinegap
