#include "observability/event_log.h"
#include "observability/timeline.h"
#include "observability/timeline_explanation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace clementinegap;

namespace {

event_record make_record(std::string kind, std::string request, std::string upstream = "",
                         std::string detail = "")
{
    return {std::move(kind), std::move(request), "guide", "shop", std::move(upstream), std::move(detail)};
}

std::vector<timeline_event> read(const event_log& log)
{
    return timeline_from_json_lines(log.json_lines("")).value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(two_processes_whose_clocks_differ)

BOOST_AUTO_TEST_CASE(keep_cause_before_effect_when_the_receiver_is_behind)
{
    event_log entry("entry-1", 10);
    event_log upstream("upstream-1", 10);
    const time_point entry_now(seconds(1000));
    const time_point upstream_now(seconds(997));
    entry.add(make_record("request.dispatched", "r1"), entry_now);
    const auto sent = entry.clock().next(entry_now);
    BOOST_TEST(upstream.clock().witness(sent, upstream_now));
    upstream.add(make_record("run.started", "r1"), upstream_now);
    auto events = read(upstream);
    std::ranges::copy(read(entry), std::back_inserter(events));
    sort_timeline(events);
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events[0].record.kind == "request.dispatched");
    BOOST_TEST(events[1].record.kind == "run.started");
}

BOOST_AUTO_TEST_CASE(do_not_follow_a_clock_that_is_a_day_ahead)
{
    hybrid_clock clock;
    const time_point now(seconds(1000));
    const auto before = clock.next(now);
    BOOST_TEST(!clock.witness({std::int64_t{86'400'000'000}, 0}, now));
    BOOST_TEST((clock.next(now) < hybrid_time{before.wall + 1, 0}));
}

BOOST_AUTO_TEST_CASE(never_give_a_time_twice_however_many_fall_in_a_microsecond)
{
    hybrid_clock clock;
    const time_point now(seconds(1));
    auto last = clock.next(now);
    for (int i = 0; i < 10000; ++i) {
        const auto at = clock.next(now);
        BOOST_REQUIRE((last < at));
        last = at;
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_ring_of_a_process)

BOOST_AUTO_TEST_CASE(keeps_the_newest_events_and_counts_those_that_gave_way)
{
    event_log log("entry-1", 3);
    for (int i = 0; i < 8; ++i) {
        log.add(make_record("kind", "r" + std::to_string(i)), time_point(seconds(i)));
    }
    BOOST_TEST(log.dropped() == 5U);
    const auto events = read(log);
    BOOST_REQUIRE(events.size() == 3U);
    BOOST_TEST(events.front().record.request_id == "r5");
    BOOST_TEST(events.back().record.request_id == "r7");
    BOOST_TEST(events.back().sequence == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_merged_time_line)

BOOST_AUTO_TEST_CASE(refuses_lines_that_are_not_events)
{
    BOOST_TEST(!timeline_from_json_lines("{\"wall_us\":1}\n").has_value());
    BOOST_TEST(!timeline_from_json_lines("not json\n").has_value());
}

BOOST_AUTO_TEST_CASE(is_the_same_whatever_order_the_processes_were_read_in)
{
    event_log one("a", 10);
    event_log two("b", 10);
    const time_point now(seconds(5));
    one.add(make_record("x", "r"), now);
    two.add(make_record("y", "r"), now);
    auto forward = read(one);
    std::ranges::copy(read(two), std::back_inserter(forward));
    auto backward = read(two);
    std::ranges::copy(read(one), std::back_inserter(backward));
    sort_timeline(forward);
    sort_timeline(backward);
    BOOST_TEST(timeline_text(forward) == timeline_text(backward));
}

BOOST_AUTO_TEST_CASE(filters_by_each_of_its_fields)
{
    timeline_event event;
    event.at = {100, 0};
    event.record = make_record("run.started", "r1", "upstream-1");
    BOOST_TEST(timeline_filter{}.fits(event));
    timeline_filter filter;
    filter.class_name = "other";
    BOOST_TEST(!filter.fits(event));
    filter = {};
    filter.workspace = "other";
    BOOST_TEST(!filter.fits(event));
    filter = {};
    filter.upstream = "upstream-2";
    BOOST_TEST(!filter.fits(event));
    filter = {};
    filter.from_us = 101;
    BOOST_TEST(!filter.fits(event));
    filter = {};
    filter.to_us = 99;
    BOOST_TEST(!filter.fits(event));
}

BOOST_AUTO_TEST_SUITE(asked_for_one_request)

BOOST_AUTO_TEST_CASE(says_why_it_was_late_and_where_it_ran)
{
    event_log entry("entry-1", 20);
    entry.add(make_record("request.admitted", "r1", "", "tier 0, first-token target 330 ms"),
              time_point(seconds(10)));
    entry.add(make_record("request.refused", "r1", "upstream-1", "overloaded"), time_point(seconds(11)));
    entry.add(make_record("request.dispatched", "r1", "upstream-2", "first upstream to grant a slot"),
              time_point(seconds(12)));
    entry.add(make_record("request.started", "r1", "upstream-2"), time_point(milliseconds(12100)));
    entry.add(make_record("request.first_token", "r1", "upstream-2", "late: 2300 ms, target 330 ms"),
              time_point(milliseconds(12300)));
    entry.add(make_record("request.ended", "r1", "", "ok, ran yes"), time_point(seconds(13)));
    const auto events = read(entry);
    const auto text = explain_request(events);
    BOOST_TEST(text.find("It was on upstream-2 because: first upstream to grant a slot.") !=
               std::string::npos);
    BOOST_TEST(
        text.find("Its first token was late: 2300 ms, target 330 ms, mostly because it waited for a slot "
                  "(2000.0 ms).") != std::string::npos);
    BOOST_TEST(text.find("waiting for a slot, until the last dispatch: 2000.0 ms") != std::string::npos);
    BOOST_TEST(text.find("upstream-1 would not take it (overloaded)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(says_why_it_was_refused)
{
    event_log entry("entry-1", 20);
    entry.add(make_record("request.refused_at_admission", "r1", "", "rate_limited"), time_point(seconds(10)));
    const auto text = explain_request(read(entry));
    BOOST_TEST(text.find("Refused at admission: rate_limited. It was not run.") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(admits_that_a_request_is_unknown)
{
    BOOST_TEST(explain_request({}).find("No process has an event") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
