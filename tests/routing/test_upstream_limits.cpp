#include "routing/router_fixture.h"
#include "routing/upstream_limits.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

using namespace clementinegap;
using namespace clementinegap::testing;

BOOST_AUTO_TEST_SUITE(rate_limits_of_upstreams)

BOOST_AUTO_TEST_SUITE(as_observed)

BOOST_AUTO_TEST_CASE(hold_until_a_later_response_names_none)
{
    upstream_limits limits;
    BOOST_TEST(limits.named("u", 2, start, true, start));
    BOOST_TEST(!limits.named("u", 2, start, true, start + seconds(1)));
    BOOST_TEST(limits.at("u").value_or(-1) == 2.0);
    // The response to a request that was sent before the limit became known may be older than the limit.
    BOOST_TEST(!limits.not_named("u", start - seconds(1), start + seconds(1)));
    BOOST_TEST(limits.at("u").has_value());
    BOOST_TEST(limits.not_named("u", start + seconds(1), start + seconds(2)));
    BOOST_TEST(!limits.at("u").has_value());
}

BOOST_AUTO_TEST_CASE(become_stricter_at_once_and_looser_later)
{
    upstream_limits limits;
    limits.named("u", 4, start, true, start);
    BOOST_TEST(limits.named("u", 1, start - seconds(1), true, start + seconds(1)));
    BOOST_TEST(!limits.named("u", 4, start, true, start + seconds(2)));
    BOOST_TEST(limits.at("u").value_or(-1) == 1.0);
    BOOST_TEST(limits.named("u", 4, start + seconds(1), true, start + seconds(2)));
    BOOST_TEST(limits.at("u").value_or(-1) == 4.0);
}

BOOST_AUTO_TEST_CASE(are_kept_while_an_entry_may_have_expired_by_mistake)
{
    upstream_limits limits;
    limits.named("u", 1, start, true, start);
    limits.unlisted("u", start);
    limits.expire(start + seconds(119));
    BOOST_TEST(limits.at("u").has_value());
    limits.listed("u");
    limits.expire(start + seconds(1000));
    BOOST_TEST(limits.at("u").has_value());
    limits.unlisted("u", start + seconds(1000));
    limits.expire(start + seconds(1121));
    BOOST_TEST(limits.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(as_reported)

BOOST_AUTO_TEST_CASE(follow_the_newest_statement)
{
    upstream_limits one;
    upstream_limits two;
    one.named("u", 1, start, true, start);
    BOOST_TEST(two.merge(one.next_statements(start).front(), true, start));
    BOOST_TEST(!two.merge(one.next_statements(start).front(), true, start));
    BOOST_TEST(two.not_named("u", start + seconds(1), start + seconds(1)));
    BOOST_TEST(!two.merge(one.next_statements(start).front(), true, start + seconds(1)));
    BOOST_TEST(one.merge(two.next_statements(start).front(), true, start + seconds(1)));
    BOOST_TEST(!one.at("u").has_value());
}

BOOST_AUTO_TEST_CASE(agree_on_the_stricter_of_two_that_are_equally_new)
{
    upstream_limits one;
    upstream_limits two;
    one.named("u", 1, start, true, start);
    two.named("u", 3, start, true, start);
    two.merge(one.next_statements(start).front(), true, start);
    one.merge({"u", 1, 3.0}, true, start);
    BOOST_TEST(one.at("u").value_or(-1) == 1.0);
    BOOST_TEST(two.at("u").value_or(-1) == 1.0);
}

BOOST_AUTO_TEST_CASE(are_forgotten_by_all_once_the_upstream_is_gone)
{
    upstream_limits one;
    upstream_limits two;
    one.named("u", 1, start, true, start);
    const auto late = one.next_statements(start).front();
    one.unlisted("u", start);
    BOOST_TEST(one.next_statements(start).empty());
    // A daemon that hears of it after the upstream has left the directory does not report it either.
    two.merge(late, false, start + seconds(100));
    BOOST_TEST(two.next_statements(start + seconds(100)).empty());
    one.expire(start + seconds(121));
    two.expire(start + seconds(221));
    BOOST_TEST(one.size() + two.size() == 0U);
}

BOOST_AUTO_TEST_CASE(are_reported_in_rotation_if_there_are_many)
{
    upstream_limits limits;
    for (int i = 0; i < 100; ++i) {
        limits.named("u" + std::to_string(i), 1, start, true, start);
    }
    BOOST_TEST(limits.next_statements(start).size() == 100U);
    const auto later = start + seconds(10);
    std::set<std::string> reported;
    for (int i = 0; i < 7; ++i) {
        const auto statements = limits.next_statements(later);
        BOOST_TEST(statements.size() == 16U);
        for (const auto& each : statements) {
            reported.insert(each.upstream);
        }
    }
    BOOST_TEST(reported.size() == 100U);
}

BOOST_AUTO_TEST_CASE(are_bounded_regardless_of_reports)
{
    upstream_limits limits;
    for (int i = 0; i < 10000; ++i) {
        limits.merge({"u" + std::to_string(i), 1, 1.0}, true, start);
    }
    BOOST_TEST(limits.size() == 4096U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(in_a_router, router_fixture)

BOOST_AUTO_TEST_CASE(recall_sends_without_a_connection)
{
    arrive("/book/x");
    const auto at = sent_to();
    upstream_notice notice;
    notice.upstream = at;
    notice.limit_per_second = 1;
    give(notice);
    BOOST_TEST(one<recall_unsent>()->upstream == at);
}

BOOST_AUTO_TEST_CASE(refuse_a_request_at_once_if_the_daemon_has_no_share)
{
    for (const auto* each : {"p1", "p2"}) {
        upstream_notice notice;
        notice.upstream = each;
        notice.limit_per_second = 2;
        give(notice);
    }
    arrive("/book/x");
    BOOST_TEST(one<respond_to_caller>()->status == 503);
    BOOST_TEST(one<respond_to_caller>()->retry_after.has_value());
    BOOST_TEST(all<log_decision>().front().detail ==
               "503 no upstream accepts it now, limits allow 4 per second");
}

BOOST_AUTO_TEST_CASE(give_a_turn_to_the_most_urgent_waiting_request_before_a_new_one)
{
    give(fleet_size_known{1});
    for (int i = 0; i < 10; ++i) {
        pass(milliseconds(250)); // It counts itself as a member of the fleet by then.
    }
    for (const auto* each : {"p1", "p2"}) {
        upstream_notice notice;
        notice.upstream = each;
        notice.limit_per_second = 5;
        give(notice);
    }
    std::vector<request_number> waiting;
    while (waiting.size() < 2) {
        const auto request = arrive("/book/x");
        if (sent_to().empty()) {
            BOOST_TEST(all<respond_to_caller>().empty());
            waiting.push_back(request);
        }
    }
    // The next turn has come, and a new request is processed before the timer that it set.
    now += milliseconds(250);
    arrive("/book/x");
    BOOST_REQUIRE(!all<send_request>().empty());
    BOOST_TEST(all<send_request>().front().request == waiting.front());
}

BOOST_AUTO_TEST_CASE(keep_a_late_request_where_it_runs_if_no_other_upstream_accepts_it)
{
    const auto request = arrive("/look/x");
    upstream_notice notice;
    notice.upstream = sent_to() == "p1" ? "p2" : "p1";
    notice.limit_per_second = 1;
    give(notice);
    pass(milliseconds(200));
    BOOST_TEST(all<stop_send>().empty());
    give(request_completed{request, false});
    BOOST_TEST((one<measure_request>()->code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(do_not_keep_others_from_copying_prompt_parts)
{
    give(configuration_received{table(2, 200)});
    const auto first = arrive_generation("/draft/x", 42, 500, 6000);
    const auto holder = sent_to();
    give(first_event_seen{first});
    give(request_completed{first, false});
    upstream_notice notice;
    notice.upstream = holder;
    notice.limit_per_second = 1;
    give(notice);
    arrive_generation("/draft/x", 42, 500, 6000);
    const auto send = one<send_request>();
    BOOST_REQUIRE(send.has_value());
    BOOST_TEST(send->upstream->id != holder);
    BOOST_REQUIRE(send->copy_from != nullptr);
    BOOST_TEST(send->copy_from->id == holder);
}

BOOST_AUTO_TEST_CASE(are_logged_when_they_change)
{
    const auto request = arrive("/book/x");
    upstream_notice notice;
    notice.upstream = sent_to();
    notice.incarnation = 1;
    notice.request = request;
    notice.limit_per_second = 1.5;
    give(notice);
    BOOST_REQUIRE(!all<log_decision>().empty());
    BOOST_TEST(all<log_decision>().front().event == "upstream.limit");
    BOOST_TEST(all<log_decision>().front().detail == "per_second 1.5 told in an answer");
    give(notice);
    BOOST_TEST(all<log_decision>().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
