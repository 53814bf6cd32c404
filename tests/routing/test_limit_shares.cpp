#include "routing/fleet_members.h"
#include "routing/limit_shares.h"
#include "routing/router_fixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

using limit_map = std::map<std::string, double, std::less<>>;

std::vector<std::string> names(std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back("entry-" + std::to_string(i));
    }
    return result;
}

/// The shares that each of so many daemons computes of a limit of one upstream.
std::vector<double> shares_of(std::size_t daemons, double limit)
{
    std::vector<double> result;
    const auto all = names(daemons);
    for (const auto& each : all) {
        auto others = all;
        std::erase(others, each);
        limit_shares shares(each);
        shares.update({{"u", limit}}, others, 1, start);
        result.push_back(shares.share("u"));
    }
    return result;
}

/// Requests that a daemon sends to `u` within a time, as many as its share allows.
int sends_within(limit_shares& shares, time_point from, duration span)
{
    int sends = 0;
    for (auto now = from; now < from + span; now += milliseconds(1)) {
        while (!shares.is_blocked("u", now)) {
            shares.sent("u", now);
            ++sends;
        }
    }
    return sends;
}

/// Members that have been heard from by a daemon that started six seconds ago.
struct members_fixture {
    explicit members_fixture(std::size_t others = 3)
    {
        members.set_registered(others + 1);
        for (auto at = start; at <= now; at += milliseconds(250)) {
            members.on_time(at);
        }
        for (const auto& each : names(others)) {
            members.on_report(each, milliseconds(100), now);
        }
    }
    void pass(duration span)
    {
        for (const auto end = now + span; now < end;) {
            now += milliseconds(250);
            members.on_time(now);
            members.expire(now);
        }
    }
    fleet_members members;
    time_point now{start + seconds(6)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(shares_of_a_rate_limit)

BOOST_AUTO_TEST_CASE(add_up_to_it_in_a_fleet_of_any_size)
{
    for (const std::size_t daemons : {1U, 2U, 4U, 30U, 300U}) {
        for (const double limit : {0.1, 1.0, 7.5, 100.0, 1000.0}) {
            double sum = 0;
            std::size_t sharers = 0;
            for (const double share : shares_of(daemons, limit)) {
                sum += share;
                sharers += share > 0 ? 1 : 0;
            }
            BOOST_TEST_CONTEXT("daemons " << daemons << " limit " << limit)
            {
                BOOST_TEST(std::abs(sum - limit) < 1e-6 * limit);
                BOOST_TEST(static_cast<double>(sharers) <= limit + 2);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(are_not_taken_by_a_daemon_that_has_not_joined)
{
    limit_shares shares("entry-0");
    shares.update({{"u", 5.0}}, {}, 0, start);
    BOOST_TEST(shares.is_blocked("u", start + seconds(100)));
    BOOST_TEST((shares.available_at("u", start) == never));
    BOOST_TEST(!shares.is_blocked("another", start));
}

BOOST_AUTO_TEST_CASE(are_used_at_their_pace_with_a_short_head_start)
{
    for (const double limit : {0.5, 2.0, 40.0}) {
        limit_shares shares("entry-0");
        shares.update({{"u", limit}}, {}, 1, start);
        const auto sends = sends_within(shares, start, seconds(4));
        BOOST_TEST(sends >= static_cast<int>(4 * limit));
        BOOST_TEST(sends <= static_cast<int>(4.5 * limit) + 1);
    }
}

BOOST_AUTO_TEST_CASE(are_not_saved_up)
{
    limit_shares shares("entry-0");
    shares.update({{"u", 2.0}}, {}, 1, start);
    BOOST_TEST(sends_within(shares, start + seconds(100), seconds(4)) <= 10);
}

BOOST_AUTO_TEST_CASE(follow_a_change_of_the_limit_without_a_long_pause)
{
    limit_shares shares("entry-0");
    shares.update({{"u", 100.0}}, {}, 1, start);
    sends_within(shares, start, milliseconds(1));
    auto now = start + milliseconds(1);
    BOOST_TEST(shares.is_blocked("u", now));
    shares.update({{"u", 1.0}}, {}, 1, now);
    const auto sends = sends_within(shares, now, seconds(4));
    BOOST_TEST(sends >= 4);
    BOOST_TEST(sends <= 5);
    now += seconds(4);
    shares.update({{"u", 0.1}}, {}, 1, now);
    sends_within(shares, now, seconds(1));
    now += seconds(1);
    shares.update({{"u", 100.0}}, {}, 1, now);
    BOOST_TEST(!shares.is_blocked("u", now + milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(of_an_upstream_that_takes_nothing_allow_a_rare_request)
{
    limit_shares shares("entry-0");
    shares.update({{"u", 0.0}}, {}, 1, start);
    BOOST_TEST(sends_within(shares, start, seconds(30)) <= 4);
    BOOST_TEST(sends_within(shares, start + seconds(30), seconds(20)) >= 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(members_that_divide_a_rate_limit)

BOOST_FIXTURE_TEST_CASE(are_kept_for_a_while_when_their_reports_stop, members_fixture)
{
    for (int second = 0; second < 14; ++second) {
        pass(seconds(1));
        members.on_report("entry-0", milliseconds(100), now);
        members.on_report("entry-1", milliseconds(100), now);
    }
    BOOST_TEST(members.others().size() == 3U);
    pass(seconds(2));
    BOOST_TEST(members.others().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(are_kept_longer_by_one_that_hears_only_a_minority, members_fixture)
{
    pass(seconds(30));
    BOOST_TEST(members.others().size() == 3U);
    pass(seconds(31));
    BOOST_TEST(members.others().empty());
}

BOOST_FIXTURE_TEST_CASE(are_kept_over_a_suspension_after_which_the_daemon_joins_anew, members_fixture)
{
    BOOST_TEST(members.portion(now) == 1);
    now += seconds(40);
    BOOST_TEST(members.on_time(now));
    members.expire(now);
    BOOST_TEST(members.others().size() == 3U);
    BOOST_TEST(members.portion(now) == 0);
    pass(seconds(3));
    BOOST_TEST(members.portion(now) == 1);
}

BOOST_AUTO_TEST_CASE(join_later_if_they_do_not_hear_all_and_take_less_if_they_hear_few)
{
    const auto portion_after = [](std::size_t heard, std::size_t registered, duration span) {
        members_fixture fixture(heard);
        fixture.members.set_registered(registered);
        fixture.now += seconds(10);
        fixture.members.on_time(fixture.now); // A suspension, after which it joins anew.
        fixture.pass(span);
        return fixture.members.portion(fixture.now);
    };
    BOOST_TEST(portion_after(3, 4, milliseconds(1750)) == 0);
    BOOST_TEST(portion_after(3, 4, seconds(2)) == 1);
    BOOST_TEST(portion_after(3, 5, milliseconds(5750)) == 0);
    BOOST_TEST(portion_after(3, 5, seconds(6)) == 1);
    BOOST_TEST(portion_after(0, 4, milliseconds(5750)) == 0);
    BOOST_TEST(portion_after(0, 4, seconds(6)) == 0.25);
    BOOST_TEST(portion_after(0, 4, milliseconds(59750)) == 0.25);
    BOOST_TEST(portion_after(0, 4, seconds(60)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
