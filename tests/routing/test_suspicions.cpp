#include "routing/request_router.h"
#include "routing/router_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>

using namespace clementinegap;
using clementinegap::testing::router_fixture;

namespace {

constexpr auto start = clementinegap::testing::start;

soft_state_item item_of(const std::string& fingerprint, const std::string& crashes)
{
    soft_state_item item;
    item.kind = "poison";
    item.key = fingerprint;
    item.value = crashes;
    item.lifetime = minutes(10);
    return item;
}

/// Daemons before the plain upstreams of the fixture, the rows that they have written to the store, and a
/// request that crashes each upstream that runs it.
class fleet {
public:
    static constexpr std::uint64_t deadly_body = 666;

    /// Starts a daemon, also in place of one that has been killed. It reads the store if that answers.
    void begin(const std::string& name, bool store_answers = true)
    {
        auto settings = testing::daemon_settings(1, ++incarnations_);
        settings.daemon = name;
        settings.follows_others = true;
        daemons_[name] = std::make_unique<request_router>(settings);
        give(name, configuration_received{router_fixture::table(1)});
        directory_listed listing;
        for (const auto* id : {"p1", "p2"}) {
            listing.records.push_back(upstream(id));
        }
        give(name, listing);
        if (store_answers) {
            read_store(name);
        }
    }
    void read_store(const std::string& name)
    {
        suspicions_listed listing;
        for (const auto& [daemon, row] : rows_) {
            listing.rows.push_back({daemon, row});
        }
        give(name, listing);
    }
    /// All daemons hear of each other, and then pass on what they have published meanwhile.
    void exchange_reports()
    {
        for (int round = 0; round < 2; ++round) {
            auto items = std::move(published_);
            published_.clear();
            for (auto& [from, sender] : daemons_) {
                load_reported report;
                report.report = sender->report(now_);
                report.report.next_in = milliseconds(100);
                report.items = items[from];
                for (const auto& [to, receiver] : daemons_) {
                    if (to != from) {
                        give(to, report);
                    }
                }
            }
        }
    }
    void pass(duration span)
    {
        now_ += span;
        for (const auto& [name, each] : daemons_) {
            give(name, tick{});
        }
    }
    /// The deadly request comes at a daemon. \returns the upstreams that it has crashed.
    int send_deadly(const std::string& name)
    {
        request_arrived event;
        event.request = ++requests_;
        event.id = "id-" + std::to_string(requests_);
        event.host = "h";
        event.path = "/look/x";
        event.api_key = "key-a";
        event.body_hash = deadly_body;
        give(name, event);
        int crashes = 0;
        while (const auto at = sent_to()) {
            ++crashes;
            give(name, send_failed{event.request, send_fault::lost, false});
            const auto next = sent_to();
            ++upstream_incarnations_[*at];
            for (const auto& [daemon, each] : daemons_) {
                give(daemon, upstream_listed{upstream(*at)});
            }
            last_sent_ = next;
        }
        pass(milliseconds(300));
        return crashes;
    }
    bool is_ready(const std::string& name) const { return daemons_.at(name)->is_ready(); }
    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto& [name, each] : daemons_) {
            result.push_back(name);
        }
        return result;
    }

private:
    std::optional<std::string> sent_to() const { return last_sent_; }
    upstream_record upstream(const std::string& id)
    {
        auto record = router_fixture::upstream(id, "app");
        record.incarnation = 1 + upstream_incarnations_[id];
        return record;
    }
    void give(const std::string& name, const router_event& event)
    {
        last_sent_.reset();
        const auto actions = daemons_.at(name)->on_event(event, now_);
        for (const auto& each : actions) {
            if (const auto* record = std::get_if<record_suspicions>(&each)) {
                rows_[name] = record->suspicions;
            } else if (const auto* publish = std::get_if<publish_soft_state>(&each)) {
                published_[name].push_back(publish->item);
            } else if (const auto* send = std::get_if<send_request>(&each)) {
                last_sent_ = send->upstream->id;
            }
        }
    }

    time_point now_{start};
    std::uint64_t incarnations_{0};
    request_number requests_{0};
    std::map<std::string, std::int64_t> upstream_incarnations_;
    std::map<std::string, std::unique_ptr<request_router>> daemons_;
    std::map<std::string, std::vector<suspicion>> rows_;
    std::map<std::string, std::vector<soft_state_item>> published_;
    std::optional<std::string> last_sent_;
};

/// Three daemons of which one has learned that the request crashes upstreams, and has told the others.
struct fleet_that_has_learned : fleet {
    fleet_that_has_learned()
    {
        for (const auto* name : {"a", "b", "c"}) {
            begin(name);
        }
        exchange_reports();
        pass(seconds(4));
        int crashes = 0;
        for (int attempt = 0; attempt < 2 && crashes < 2; ++attempt) {
            crashes += send_deadly("a");
        }
        BOOST_REQUIRE(crashes >= 2);
        exchange_reports();
        for (const auto& name : names()) {
            BOOST_REQUIRE(send_deadly(name) == 0);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_upstreams)

BOOST_FIXTURE_TEST_SUITE(is_refused_by_all_that_have_learned, fleet_that_has_learned)

// Guards against suspicions in memory only: a daemon that started later passed the request on again.
BOOST_AUTO_TEST_CASE(after_all_have_been_killed_at_once)
{
    for (const auto& name : names()) {
        begin(name);
    }
    for (const auto& name : names()) {
        BOOST_TEST(send_deadly(name) == 0, name);
    }
}

BOOST_AUTO_TEST_CASE(after_they_have_been_killed_in_turn_several_times)
{
    for (int round = 0; round < 3; ++round) {
        for (const auto& name : names()) {
            begin(name);
            BOOST_TEST(send_deadly(name) == 0, name);
        }
    }
}

BOOST_AUTO_TEST_CASE(and_by_one_that_has_just_been_added)
{
    begin("d");
    BOOST_TEST(send_deadly("d") == 0);
}

BOOST_AUTO_TEST_CASE(and_by_one_that_could_not_read_the_store_but_heard_of_another)
{
    for (const auto* name : {"a", "d"}) {
        begin(name, false);
        exchange_reports();
        pass(seconds(4));
        BOOST_REQUIRE(is_ready(name));
        BOOST_TEST(send_deadly(name) == 0, name);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(crashes_few_upstreams_although_daemons_are_killed_after_each_crash, fleet)
{
    int crashes = 0;
    for (int round = 0; round < 10; ++round) {
        for (const auto* name : {"a", "b", "c"}) {
            begin(name);
        }
        pass(seconds(4));
        crashes += send_deadly(round % 2 == 0 ? "a" : "b");
    }
    BOOST_TEST(crashes <= 3);
}

BOOST_AUTO_TEST_CASE(is_not_suspected_for_long_if_another_daemon_has_seen_it_end_well)
{
    crash_watch here;
    crash_watch started;
    here.ended_well("popular", start);
    started.send_lost({"u"}, "popular", start + seconds(1));
    const auto items = started.process_ended({"u"}, start + seconds(1), start + seconds(1));
    BOOST_REQUIRE(items.size() == 1U);
    here.on_item(items.front(), start + seconds(2));
    const auto withdrawal = here.refute(items.front(), start + seconds(2));
    BOOST_REQUIRE(withdrawal.has_value());
    started.on_item(*withdrawal, start + seconds(2));
    BOOST_TEST(!started.item_of("popular", start + seconds(2)).has_value());
    BOOST_TEST(!here.item_of("popular", start + seconds(2)).has_value());
    BOOST_TEST(!here.refute(*withdrawal, start + seconds(2)).has_value());
    BOOST_TEST(!here.refute(items.front(), start + minutes(2)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_daemon_that_starts)

BOOST_FIXTURE_TEST_CASE(is_ready_once_it_has_read_the_recorded_suspicions, fleet)
{
    begin("a", false);
    BOOST_TEST(!is_ready("a"));
    BOOST_TEST(send_deadly("a") == 0);
    read_store("a");
    BOOST_TEST(is_ready("a"));
}

BOOST_FIXTURE_TEST_CASE(does_not_wait_for_them_for_ever, fleet)
{
    begin("a", false);
    pass(seconds(1));
    BOOST_TEST(!is_ready("a"));
    pass(seconds(3));
    BOOST_TEST(is_ready("a"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_record_of_suspicions)

BOOST_AUTO_TEST_CASE(is_written_at_once_and_then_at_a_bounded_rate)
{
    suspicion_record record;
    record.restore({}, start);
    BOOST_TEST(!record.due(start).has_value());
    record.observed(item_of("f", "1"), start);
    const auto first = record.due(start);
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(first->size() == 1U);
    BOOST_TEST((first->front() == suspicion{"f", 1, duration::zero()}));
    record.observed(item_of("f", "2"), start + milliseconds(100));
    BOOST_TEST(!record.due(start + milliseconds(100)).has_value());
    const auto second = record.due(start + seconds(1));
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->front().crashes == 2U);
    BOOST_TEST(!record.due(start + minutes(1)).has_value());
}

BOOST_AUTO_TEST_CASE(keeps_what_the_former_process_wrote)
{
    suspicion_record record;
    record.observed(item_of("new", "1"), start);
    BOOST_TEST(!record.due(start + seconds(5)).has_value());
    const std::vector<suspicion> before = {{"old", 2, minutes(9)}, {"expired", 2, minutes(11)}};
    record.restore(before, start + seconds(5));
    const auto row = record.due(start + seconds(5));
    BOOST_REQUIRE(row.has_value());
    BOOST_REQUIRE(row->size() == 2U);
    BOOST_TEST(row->back().fingerprint == "old");
    BOOST_TEST((row->back().age == minutes(9)));
}

BOOST_AUTO_TEST_CASE(loses_withdrawn_suspicions_with_few_writes)
{
    suspicion_record record;
    record.restore({}, start);
    for (int i = 0; i < 64; ++i) {
        record.observed(item_of("f" + std::to_string(i), "1"), start);
    }
    BOOST_TEST(record.due(start)->size() == 64U);
    for (int i = 0; i < 64; ++i) {
        const auto at = start + milliseconds(10 * i);
        if (i % 2 == 0) {
            record.observed(item_of("f" + std::to_string(i), "0"), at);
        } else {
            record.received(item_of("f" + std::to_string(i), "0"), at);
        }
        BOOST_TEST(!record.due(at).has_value());
    }
    const auto row = record.due(start + seconds(2));
    BOOST_REQUIRE(row.has_value());
    // Those that ended well here stay in the row as such, for suspicions in the rows of others.
    BOOST_TEST(row->size() == 32U);
    BOOST_TEST(std::ranges::all_of(*row, [](const suspicion& each) { return each.crashes == 0; }));
}

BOOST_AUTO_TEST_CASE(of_several_daemons_counts_the_crashes_since_a_good_end)
{
    const std::vector<suspicion> recorded = {
        {"stale", 1, seconds(20)}, {"stale", 0, seconds(10)},  {"again", 0, seconds(10)},
        {"again", 2, seconds(5)},  {"again", 1, seconds(4)},   {"deadly", 2, seconds(90)},
        {"deadly", 1, seconds(1)}, {"sound", 0, seconds(300)}, {"stale", 0, seconds(30)}};
    const auto merged = suspicion_record::merge(recorded);
    BOOST_REQUIRE(merged.size() == 2U);
    BOOST_TEST((merged.front() == suspicion{"again", 2, seconds(5)}));
    BOOST_TEST((merged.back() == suspicion{"deadly", 2, seconds(90)}));
}

BOOST_AUTO_TEST_CASE(is_bounded_and_ignores_other_items)
{
    suspicion_record record;
    record.restore({}, start);
    for (int i = 0; i < 1000; ++i) {
        record.observed(item_of("f" + std::to_string(i), "1"), start + milliseconds(i));
    }
    auto other = item_of("demand", "1");
    other.kind = "demand";
    record.observed(other, start);
    record.observed(item_of("unreadable", "x"), start);
    const auto row = record.due(start + seconds(2));
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->size() == 256U);
    BOOST_TEST(std::ranges::none_of(*row, [](const suspicion& each) { return each.fingerprint == "f0"; }));
    BOOST_TEST(std::ranges::any_of(*row, [](const suspicion& each) { return each.fingerprint == "f999"; }));
}

BOOST_AUTO_TEST_SUITE_END()
