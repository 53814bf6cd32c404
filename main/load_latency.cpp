#include "main/load_latency.h"

#include "core/checked_json.h"
#include "experiment/distribution.h"
#include "experiment/load_generator.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace clementinegap {
namespace {

constexpr int max_rate = 20000;
constexpr int max_run_seconds = 60;
constexpr int max_tokens = 10000;
constexpr int default_rate = 200;
constexpr int default_run_seconds = 10;
constexpr int default_tokens = 5;
constexpr unsigned int throughput_threads = 4;
constexpr double median = 0.5;
constexpr double percentile_99 = 0.99;
constexpr double microseconds_per_millisecond = 1000.0;

/// A whole number within [1, high]; 0 for anything else.
int number_of(const std::string& word, int high)
{
    int value = 0;
    const auto [end, problem] = std::from_chars(word.data(), word.data() + word.size(), value);
    const bool valid = problem == std::errc() && end == word.data() + word.size() && value >= 1;
    return valid && value <= high ? value : 0;
}

planned_call chat_call(duration at, const std::string& url, const std::string& key, int tokens)
{
    planned_call planned;
    planned.at = at;
    planned.streamed = true;
    planned.call.method = "POST";
    planned.call.url = url + "/v1/chat/completions";
    planned.call.headers = {"Authorization: Bearer " + key, "Content-Type: application/json"};
    planned.call.body = json{{"model", "assistant"},
                             {"stream", true},
                             {"stand_in_tokens", tokens},
                             {"messages", {{{"role", "user"}, {"content", "Which needle for ripstop?"}}}}}
                            .dump();
    return planned;
}

struct path_times {
    std::vector<duration> first_token;
    std::vector<duration> whole;
    std::size_t failed{0};

    void add(const load_result& result)
    {
        if (!result.complete) {
            ++failed;
            return;
        }
        // The generator's own lateness is the same on both paths and is left out.
        first_token.push_back(result.first_token - result.sent);
        whole.push_back(result.ended - result.sent);
    }

    void sort()
    {
        std::ranges::sort(first_token);
        std::ranges::sort(whole);
    }
};

void show_row(const char* name, const std::vector<duration>& direct, const std::vector<duration>& through)
{
    const auto in_ms = [](duration value) {
        return static_cast<double>(value.count()) / microseconds_per_millisecond;
    };
    for (const double quantile : {median, percentile_99}) {
        const auto direct_ms = in_ms(quantile_of(direct, quantile));
        const auto through_ms = in_ms(quantile_of(through, quantile));
        std::printf("%-12s p%-3.0f direct %8.3f ms  through %8.3f ms  added %8.3f ms\n", name, quantile * 100,
                    direct_ms, through_ms, through_ms - direct_ms);
    }
}

exit_code usage()
{
    std::fprintf(stderr, "usage: clementinegap load latency DIRECT_URL ENTRY_URL KEY [RATE SECONDS TOKENS]\n"
                         "       clementinegap load throughput KEY RATE SECONDS TOKENS ENTRY_URL...\n");
    return exit_code::usage;
}

struct sizes {
    int rate;
    int run_seconds;
    int tokens;

    bool valid() const { return rate > 0 && run_seconds > 0 && tokens > 0; }
    int count() const { return rate * run_seconds; }
    duration time_of(int index) const { return duration(seconds(1)) * index / rate; }
};

} // namespace

exit_code load_latency_command(const std::vector<std::string>& words)
{
    if (words.size() != 3 && words.size() != 6) {
        return usage();
    }
    sizes load{default_rate, default_run_seconds, default_tokens};
    if (words.size() == 6) {
        load = {number_of(words[3], max_rate), number_of(words[4], max_run_seconds),
                number_of(words[5], max_tokens)};
    }
    if (!load.valid()) {
        return usage();
    }
    std::vector<planned_call> calls;
    for (int i = 0; i < load.count(); ++i) {
        calls.push_back(chat_call(load.time_of(i), words[i % 2], words[2], load.tokens));
    }
    const auto results = run_load(calls, {}, {});
    path_times direct;
    path_times through;
    for (std::size_t i = 0; i < results.size(); ++i) {
        (i % 2 == 0 ? direct : through).add(results[i]);
    }
    direct.sort();
    through.sort();
    std::printf("%d requests/s for %d s, every second one through the entry, %d tokens each; failed: direct "
                "%zu, through %zu\n",
                load.rate, load.run_seconds, load.tokens, direct.failed, through.failed);
    show_row("first token", direct.first_token, through.first_token);
    show_row("whole", direct.whole, through.whole);
    return direct.failed + through.failed == 0 ? exit_code::ok : exit_code::refused;
}

exit_code load_throughput_command(const std::vector<std::string>& words)
{
    if (words.size() < 5) {
        return usage();
    }
    const sizes load{number_of(words[1], max_rate), number_of(words[2], max_run_seconds),
                     number_of(words[3], max_tokens)};
    if (!load.valid()) {
        return usage();
    }
    const std::vector<std::string> entries(words.begin() + 4, words.end());
    std::vector<planned_call> calls;
    for (int i = 0; i < load.count(); ++i) {
        const auto& entry = entries[static_cast<std::size_t>(i) % entries.size()];
        calls.push_back(chat_call(load.time_of(i), entry, words[0], load.tokens));
    }
    load_options options;
    options.threads = throughput_threads;
    const auto results = run_load(calls, {}, options);
    std::uint64_t tokens = 0;
    duration last{1};
    duration latest_send{0};
    path_times times;
    for (const auto& result : results) {
        times.add(result);
        tokens += result.tokens;
        last = std::max(last, result.ended);
        latest_send = std::max(latest_send, result.sent - result.planned);
    }
    times.sort();
    const double run = std::chrono::duration<double>(last).count();
    std::printf("offered %d requests/s, complete %.0f/s, tokens %.0f/s, failed %zu, first token p50 %.1f ms "
                "p99 %.1f ms, sender late at most %.1f ms\n",
                load.rate, static_cast<double>(results.size() - times.failed) / run,
                static_cast<double>(tokens) / run, times.failed,
                static_cast<double>(quantile_of(times.first_token, median).count()) / 1000,
                static_cast<double>(quantile_of(times.first_token, percentile_99).count()) / 1000,
                static_cast<double>(latest_send.count()) / 1000);
    return exit_code::ok;
}

} // namespace clementinegap
