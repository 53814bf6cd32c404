#include "routing/configuration_catch_up.h"
#include "routing/crash_watch.h"
#include "routing/engine_partition.h"
#include "routing/load_tracker.h"
#include "routing/prompt_cache_view.h"
#include "routing/retry_budget.h"
#include "routing/route_table.h"
#include "routing/table_follower.h"
#include "routing/upstream_directory.h"
#include "routing/upstream_health.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace clementinegap;

namespace {

constexpr time_point start{seconds(1000)};

std::vector<upstream_ptr> make_engines(int count)
{
    std::vector<upstream_ptr> engines;
    for (int i = 0; i < count; ++i) {
        upstream_record record;
        record.id = "engine-" + std::to_string(i);
        engines.push_back(std::make_shared<const upstream_record>(record));
    }
    return engines;
}

table_row row(std::string key, std::string value, std::uint64_t version)
{
    return {std::move(key), std::move(value), version, false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_route_table)

BOOST_AUTO_TEST_CASE(takes_the_longest_prefix_of_the_host)
{
    route_table table(1);
    for (const auto* prefix : {"/", "/a/b/", "/a/"}) {
        route each;
        each.host = "h";
        each.prefix = prefix;
        table.add_route(each);
    }
    BOOST_TEST(table.find("h", "/a/b/c", "").found->prefix == "/a/b/");
    BOOST_TEST(table.find("h", "/a/x", "").found->prefix == "/a/");
    BOOST_TEST(table.find("h", "/x", "").found->prefix == "/");
    BOOST_TEST(table.find("other", "/a/b/c", "").found == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_retry_budget)

BOOST_AUTO_TEST_CASE(holds_for_every_window_over_all_daemons)
{
    constexpr int daemons = 4;
    constexpr double ratio = 0.2;
    constexpr double slack = 56;
    std::vector<retry_budget> budgets(daemons, retry_budget({ratio, slack, seconds(10)}));
    std::minstd_rand random(7);
    std::deque<time_point> requests;
    std::deque<time_point> extra;
    for (auto now = start; now < start + seconds(60); now += milliseconds(5)) {
        auto& one = budgets[random() % daemons];
        if (random() % 4 == 0) {
            one.request_seen(now);
            requests.push_back(now);
        }
        if (one.take(daemons, now)) {
            extra.push_back(now);
        }
        while (!requests.empty() && requests.front() <= now - seconds(10)) {
            requests.pop_front();
        }
        while (!extra.empty() && extra.front() <= now - seconds(10)) {
            extra.pop_front();
        }
        BOOST_REQUIRE(static_cast<double>(extra.size()) <=
                      ratio * static_cast<double>(requests.size()) + slack);
    }
    BOOST_TEST(!extra.empty());
}

BOOST_AUTO_TEST_SUITE(of_daemons_that_are_killed)

namespace {

constexpr double ratio = 0.2;
constexpr double slack = 56;
constexpr duration window = seconds(10);
constexpr duration step = milliseconds(5);

/// Requests that fail, at daemons that are killed and started again. The budget of the fleet is used as far
/// as the daemons allow.
class failing_fleet {
public:
    explicit failing_fleet(std::size_t daemons) : budgets_(daemons, retry_budget({ratio, slack, window})) {}

    /// \param request_share requests in a step. \param failures whether requests fail.
    void pass(duration span, double request_share, bool failures)
    {
        for (const auto end = now_ + span; now_ < end; now_ += step) {
            const auto daemon = random_() % budgets_.size();
            if (std::uniform_real_distribution<double>(0, 1)(random_) < request_share) {
                budgets_[daemon].request_seen(now_);
                requests_.push_back(now_);
            }
            if (failures && budgets_[daemon].take(budgets_.size(), now_)) {
                extra_.push_back(now_);
            }
        }
    }
    void kill(std::size_t daemon) { budgets_[daemon] = retry_budget({ratio, slack, window}, now_); }
    void kill_all()
    {
        for (std::size_t daemon = 0; daemon < budgets_.size(); ++daemon) {
            kill(daemon);
        }
    }
    void add_daemon() { budgets_.push_back(retry_budget({ratio, slack, window}, now_)); }
    std::size_t daemons() const { return budgets_.size(); }

    /// The largest share of what is allowed in a window. The requests are those of the window, the one before
    /// it, or the one half a window before it, whichever has most.
    double worst_share() const
    {
        const auto between = [](const std::vector<time_point>& times, time_point from) {
            return static_cast<double>(std::ranges::lower_bound(times, from + window) -
                                       std::ranges::lower_bound(times, from));
        };
        double worst = 0;
        for (const auto from : extra_) {
            const auto requests = std::max({between(requests_, from), between(requests_, from - window / 2),
                                            between(requests_, from - window)});
            worst = std::max(worst, between(extra_, from) / (ratio * requests + slack));
        }
        return worst;
    }

private:
    time_point now_{start};
    std::minstd_rand random_{11};
    std::vector<retry_budget> budgets_;
    std::vector<time_point> requests_;
    std::vector<time_point> extra_;
};

} // namespace

// Guards against a budget that counts in memory only: each process that started again had all of it once
// more.
BOOST_AUTO_TEST_CASE(holds_for_every_window_when_all_are_killed_at_once)
{
    for (const std::size_t daemons : {1U, 4U, 30U}) {
        for (const int kills : {1, 2, 5}) {
            failing_fleet fleet(daemons);
            fleet.pass(seconds(15), 0.25, false);
            fleet.pass(seconds(5), 0.25, true);
            for (int kill = 0; kill < kills; ++kill) {
                fleet.kill_all();
                fleet.pass(seconds(3), 0.25, true);
            }
            fleet.pass(seconds(20), 0.25, true);
            BOOST_TEST(fleet.worst_share() <= 1.0, daemons << " daemons, " << kills << " kills");
            BOOST_TEST(fleet.worst_share() > 0.5);
        }
    }
}

BOOST_AUTO_TEST_CASE(holds_for_every_window_when_they_are_killed_in_turn)
{
    failing_fleet fleet(4);
    fleet.pass(seconds(15), 0.25, false);
    for (std::size_t kill = 0; kill < 16; ++kill) {
        fleet.pass(milliseconds(1500), 0.25, true);
        fleet.kill(kill % fleet.daemons());
    }
    fleet.pass(seconds(20), 0.25, true);
    BOOST_TEST(fleet.worst_share() <= 1.0);
}

BOOST_AUTO_TEST_CASE(holds_for_every_window_when_some_are_killed_and_others_are_added)
{
    failing_fleet fleet(4);
    fleet.pass(seconds(15), 0.25, false);
    fleet.pass(seconds(4), 0.25, true);
    for (std::size_t added = 0; added < 6; ++added) {
        fleet.kill(added % 2);
        fleet.add_daemon();
        fleet.pass(seconds(1), 0.25, true);
    }
    fleet.pass(seconds(20), 0.25, true);
    BOOST_TEST(fleet.worst_share() <= 1.0);
}

BOOST_AUTO_TEST_CASE(holds_after_calm_time_as_failures_begin_with_the_kill)
{
    failing_fleet fleet(4);
    fleet.pass(seconds(30), 0.5, false);
    fleet.pass(milliseconds(1500), 0.5, true);
    fleet.kill_all();
    fleet.pass(seconds(25), 0.5, true);
    BOOST_TEST(fleet.worst_share() <= 1.0);
}

BOOST_AUTO_TEST_CASE(leaves_a_new_process_some_retries)
{
    retry_budget budget({ratio, slack, window}, start);
    int extra = 0;
    auto now = start;
    for (; now < start + window; now += milliseconds(20)) {
        budget.request_seen(now);
        extra += budget.take(4, now) ? 1 : 0;
    }
    BOOST_TEST(extra >= 25);
    BOOST_TEST(extra <= 35);
    // Later it has its whole share.
    now += seconds(2);
    for (int request = 0; request < 40; ++request) {
        extra += budget.take(4, now) ? 1 : 0;
    }
    BOOST_TEST(extra > 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_engine_partition)

BOOST_AUTO_TEST_CASE(gives_each_kind_an_engine_and_the_rest_by_demand)
{
    engine_partition partition;
    const std::vector<stream_demand> demands = {
        {milliseconds(80), 0.5, 0, 0}, {milliseconds(130), 1.0, 0, 0}, {milliseconds(330), 6.0, 0, 0}};
    partition.update(make_engines(12), demands);
    BOOST_TEST(partition.engines_for(milliseconds(80)).size() >= 1U);
    BOOST_TEST(partition.engines_for(milliseconds(330)).size() >= 7U);
    std::size_t total = 0;
    for (const auto& each : partition.sections()) {
        total += each.count;
    }
    BOOST_TEST(total == 12U);
    BOOST_TEST(partition.more_tolerant_engines(milliseconds(330)).empty());
}

BOOST_AUTO_TEST_CASE(follows_a_burst_and_ignores_small_differences)
{
    engine_partition partition;
    std::vector<stream_demand> demands = {{milliseconds(80), 1.0, 0, 0}, {milliseconds(330), 1.0, 0, 0}};
    partition.update(make_engines(12), demands);
    const auto before = partition.engines_for(milliseconds(80)).size();
    demands[1].work = 1.05;
    partition.update(make_engines(12), demands);
    BOOST_TEST(partition.engines_for(milliseconds(80)).size() == before);
    demands[1].work = 5.0;
    partition.update(make_engines(12), demands);
    BOOST_TEST(partition.engines_for(milliseconds(80)).size() < before);
}

// With sections of their own, long prompts were refused at their crest while the engines of the other
// tolerant kind were idle.
BOOST_AUTO_TEST_CASE(gives_kinds_that_tolerate_a_chunk_with_each_token_one_section)
{
    engine_partition partition;
    const std::vector<stream_demand> demands = {
        {milliseconds(40), 1.0, 0, 0}, {milliseconds(60), 4.0, 0, 1}, {milliseconds(160), 4.0, 0, 2}};
    partition.update(make_engines(12), demands, milliseconds(59));
    BOOST_TEST(partition.sections().size() == 2U);
    BOOST_TEST(partition.engines_for(milliseconds(60)).data() ==
               partition.engines_for(milliseconds(160)).data());
    BOOST_TEST(partition.engines_for(milliseconds(160)).size() >= 9U);
    BOOST_TEST(partition.more_tolerant_engines(milliseconds(60)).empty());
    BOOST_TEST(partition.more_tolerant_engines(milliseconds(40)).size() ==
               partition.engines_for(milliseconds(160)).size());

    BOOST_TEST_CONTEXT("engines that read too slowly for the middle kind keep it apart")
    {
        partition.update(make_engines(12), demands, milliseconds(110));
        BOOST_TEST(partition.sections().size() == 3U);
    }
    BOOST_TEST_CONTEXT("the streams with the shortest gaps never share")
    {
        partition.update(make_engines(12), demands, milliseconds(10));
        BOOST_TEST(partition.sections().size() == 2U);
        BOOST_TEST(partition.engines_for(milliseconds(40)).size() < 4U);
    }
}

BOOST_AUTO_TEST_CASE(gives_all_engines_to_all_when_there_are_fewer_than_kinds)
{
    engine_partition partition;
    const std::vector<stream_demand> demands = {{milliseconds(80), 1.0, 0, 0},
                                                {milliseconds(330), 1.0, 0, 0}};
    partition.update(make_engines(1), demands);
    BOOST_TEST(partition.engines_for(milliseconds(80)).size() == 1U);
    BOOST_TEST(partition.engines_for(milliseconds(330)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_crash_watch)

BOOST_AUTO_TEST_CASE(does_not_blame_a_request_that_succeeded_recently)
{
    crash_watch watch;
    watch.ended_well("popular", start);
    for (const auto* upstream : {"u1", "u2", "u3"}) {
        watch.send_lost({upstream}, "popular", start + seconds(1));
        watch.process_ended({upstream}, start + seconds(1), start + seconds(1));
    }
    BOOST_TEST(!watch.is_quarantined("popular", start + seconds(2)));
    BOOST_TEST_CONTEXT("but it blames a request that was only ever lost")
    {
        for (const auto* upstream : {"u1", "u2"}) {
            watch.send_lost({upstream}, "poison", start + seconds(2));
            watch.process_ended({upstream}, start + seconds(2), start + seconds(2));
        }
        BOOST_TEST(watch.is_quarantined("poison", start + seconds(3)));
    }
    BOOST_TEST_CONTEXT("a success of long ago does not count")
    {
        const auto later = start + seconds(100);
        watch.expire(later);
        for (const auto* upstream : {"u1", "u2"}) {
            watch.send_lost({upstream}, "popular", later);
            watch.process_ended({upstream}, later, later);
        }
        BOOST_TEST(watch.is_quarantined("popular", later));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_load_tracker)

BOOST_AUTO_TEST_CASE(ignores_reports_that_are_older_than_the_last)
{
    load_tracker tracker;
    tracker.on_report({"b", 1, 5, 1, {{"e", upstream_load{3, 1, 100}}}, {}, {}}, start);
    tracker.on_report({"b", 1, 4, 1, {{"e", upstream_load{9, 9, 900}}}, {}, {}}, start);
    BOOST_TEST(tracker.at("e").in_flight == 3U);
    // A restarted daemon counts from one again.
    tracker.on_report({"b", 2, 1, 1, {{"e", upstream_load{1, 0, 0}}}, {}, {}}, start);
    BOOST_TEST(tracker.at("e").in_flight == 1U);
    tracker.expire(start + load_tracker::report_lifetime);
    BOOST_TEST(tracker.at("e").in_flight == 0U);
}

BOOST_AUTO_TEST_CASE(keeps_reports_longer_in_a_large_fleet)
{
    load_tracker tracker;
    load_report report{"b", 1, 1, 1, {{"e", upstream_load{3, 1, 100}}}, {}, {}, seconds(2)};
    tracker.on_report(report, start);
    tracker.expire(start + seconds(5));
    BOOST_TEST(tracker.at("e").in_flight == 3U);
    tracker.expire(start + seconds(6));
    BOOST_TEST(tracker.at("e").in_flight == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_prompt_cache_view)

BOOST_AUTO_TEST_CASE(counts_all_tokens_from_the_first_missing_part)
{
    prompt_cache_view caches;
    caches.set_capacity(2000);
    prompt_info prompt;
    prompt.parts = {{1, 500}, {2, 300}, {99, 50}};
    BOOST_TEST(caches.missing_tokens("e", prompt, start) == 800U);
    caches.placed({"e", 2, 300}, start);
    BOOST_TEST(caches.missing_tokens("e", prompt, start) == 800U);
    caches.placed({"e", 1, 500}, start);
    BOOST_TEST(caches.missing_tokens("e", prompt, start) == 0U);
    // The least recently used part is evicted.
    caches.placed({"e", 3, 1300}, start);
    BOOST_TEST(caches.missing_tokens("e", prompt, start) == 300U);
    caches.forget("e");
    BOOST_TEST(caches.missing_tokens("e", prompt, start) == 800U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_table_follower)

BOOST_AUTO_TEST_CASE(reads_successive_changes_in_one_batch)
{
    table_follower follower("servers", 1);
    follower.on_page({{row("a", "1", 3)}, 10, false}, start);
    BOOST_TEST_CONTEXT("the first change after an idle time is read at once")
    {
        follower.on_page({{row("b", "2", 11)}, 11, false}, start + seconds(5));
        BOOST_TEST((follower.next_at() <= start + seconds(5)));
    }
    BOOST_TEST_CONTEXT("the next one is delayed")
    {
        follower.on_page({{row("c", "2", 12)}, 12, false}, start + milliseconds(5100));
        BOOST_TEST((follower.next_at() > start + milliseconds(5200)));
        BOOST_TEST((follower.next_at() <= start + milliseconds(5600)));
    }
    BOOST_TEST_CONTEXT("a result without changes does not delay the next call")
    {
        follower.on_page({{}, 12, false}, start + milliseconds(5500));
        BOOST_TEST((follower.next_at() <= start + milliseconds(5500)));
    }
}

BOOST_AUTO_TEST_CASE(finds_the_last_of_several_changes_of_a_row_in_one_page)
{
    std::vector<table_row> changes{row("a", "old", 4), row("b", "other", 5), row("a", "new", 6)};
    BOOST_TEST(last_change(changes, "a")->value == "new");
    BOOST_TEST(last_change(changes, "c") == nullptr);
    changes.push_back({"a", "", 7, true});
    BOOST_TEST(last_change(changes, "a")->deleted);
}

BOOST_AUTO_TEST_CASE(lists_all_pages_then_follows_from_the_first_pages_version)
{
    table_follower follower("servers", 1);
    BOOST_TEST((follower.next_call().what == table_read::kind::listing));
    auto progress = follower.on_page({{row("a", "1", 3)}, 10, true}, start);
    BOOST_TEST(!progress.is_snapshot);
    BOOST_TEST(follower.next_call().from_key == std::string("a\0", 2));
    progress = follower.on_page({{row("b", "2", 4)}, 12, false}, start);
    BOOST_TEST(progress.is_snapshot);
    BOOST_TEST(progress.changes.size() == 2U);
    BOOST_TEST((follower.next_call().what == table_read::kind::changes));
    BOOST_TEST(follower.next_call().after_version == 10U);
}

BOOST_AUTO_TEST_CASE(lists_again_when_the_history_has_expired)
{
    table_follower follower("servers", 1);
    follower.on_page({{}, 10, false}, start);
    follower.on_failure(read_result::history_expired, start);
    BOOST_TEST((follower.next_call().what == table_read::kind::listing));
    BOOST_TEST(follower.reachable());
}

BOOST_AUTO_TEST_CASE(backs_off_after_failures_and_reports_loss_and_recovery_once)
{
    table_follower follower("op", 1);
    follower.on_page({{}, 10, false}, start);
    BOOST_TEST(follower.on_failure(read_result::failed, start).lost);
    BOOST_TEST(!follower.on_failure(read_result::failed, start).lost);
    BOOST_TEST((follower.next_at() > start));
    BOOST_TEST((follower.next_at() <= start + seconds(1)));
    // The first call after a failure does not wait for a change, so that the recovery is detected at once.
    BOOST_TEST(follower.next_call().wait.count() == 0);
    BOOST_TEST(follower.on_page({{}, 11, false}, start + seconds(1)).regained);
    BOOST_TEST(follower.next_call().wait.count() > 0);
    BOOST_TEST(follower.next_call().after_version == 11U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_upstream_directory)

BOOST_AUTO_TEST_CASE(ends_the_grace_period_of_a_missing_entry_on_time)
{
    upstream_directory directory;
    upstream_record record;
    record.id = "u";
    record.service = "s";
    directory.put(record);
    directory.directory_lost();
    directory.directory_returned(start);
    directory.erase("u", start + milliseconds(100));
    BOOST_TEST(directory.usable("s", start + milliseconds(2100)).size() == 1U);
    BOOST_TEST(directory.usable("s", start + upstream_directory::restore_grace).empty());
    // Without a disturbance of the directory a removed entry means that the upstream has left.
    directory.put(record);
    directory.erase("u", start + seconds(10));
    BOOST_TEST(directory.usable("s", start + seconds(10)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_configuration_catch_up)

BOOST_AUTO_TEST_CASE(requests_a_newer_configuration_from_a_peer_after_the_feed_grace)
{
    configuration_catch_up catch_up;
    BOOST_TEST(!catch_up.on_report("b", 7, 7, start).has_value());
    BOOST_TEST(!catch_up.on_report("b", 8, 7, start).has_value());
    const auto late = start + configuration_catch_up::feed_grace;
    BOOST_TEST((catch_up.on_report("b", 8, 7, late) == std::optional<std::string>("b")));
    // If the peer does not respond, the next request is sent only after the retry interval, to another peer.
    BOOST_TEST(!catch_up.on_report("c", 8, 7, late + milliseconds(100)).has_value());
    BOOST_TEST((catch_up.on_report("c", 9, 7, late + configuration_catch_up::retry_interval) ==
                std::optional<std::string>("c")));
    // After catching up, the feed gets its grace period again for a later version.
    BOOST_TEST(!catch_up.on_report("c", 10, 9, late + seconds(5)).has_value());
}

BOOST_AUTO_TEST_CASE(does_not_leave_a_daemon_that_starts_with_the_configuration_of_an_older_copy)
{
    configuration_catch_up catch_up(start);
    BOOST_TEST((catch_up.on_report("b", 8, 7, start + milliseconds(50)) == std::optional<std::string>("b")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_crash_watch_with_repeated_requests)

BOOST_AUTO_TEST_CASE(counts_a_crash_once_however_many_equal_requests_were_lost)
{
    crash_watch crashes;
    for (int i = 0; i < 5; ++i) {
        crashes.send_lost({"u"}, "popular", start);
    }
    crashes.process_ended({"u"}, start, start);
    BOOST_TEST(!crashes.is_quarantined("popular", start));
    crashes.send_lost({"v"}, "popular", start + seconds(1));
    crashes.process_ended({"v"}, start + seconds(1), start + seconds(1));
    BOOST_TEST(crashes.is_quarantined("popular", start + seconds(1)));
}

BOOST_AUTO_TEST_CASE(clears_a_suspicion_when_the_request_succeeds)
{
    crash_watch crashes;
    crashes.send_lost({"u"}, "popular", start);
    crashes.process_ended({"u"}, start, start);
    crashes.ended_well("popular", start + milliseconds(100));
    crashes.send_lost({"v"}, "popular", start + seconds(1));
    crashes.process_ended({"v"}, start + seconds(1), start + seconds(1));
    BOOST_TEST(!crashes.is_quarantined("popular", start + seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(upstream_health_as_seen_by_one_daemon)

BOOST_AUTO_TEST_CASE(avoids_an_unreachable_upstream_for_a_limited_time)
{
    upstream_health health;
    health.unreachable("u", start);
    health.unreachable("u", start);
    BOOST_TEST(health.avoided("u", start));
    BOOST_TEST(!health.avoided("u", start + seconds(6)));
    BOOST_TEST(health.failure_share("u", start) > 0.3);
    BOOST_TEST(health.failure_share("u", start + seconds(30)) < 0.01);
}

BOOST_AUTO_TEST_SUITE_END()
