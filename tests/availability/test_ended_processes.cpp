#include "availability/ended_processes.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {
constexpr time_point start{seconds(1000)};
}

BOOST_AUTO_TEST_SUITE(upstream_processes_that_have_ended)

// A crashed engine that is still listed looks idle: without this all daemons go on sending to it.
BOOST_AUTO_TEST_CASE(are_known_to_the_daemon_that_was_refused_and_to_those_that_hear_of_it)
{
    ended_processes here;
    ended_processes there;
    BOOST_TEST(here.refused("e1", 7, start));
    BOOST_TEST(!here.refused("e1", 7, start));
    const auto told = here.statements(start + milliseconds(200));
    BOOST_REQUIRE_EQUAL(told.size(), 1U);
    BOOST_TEST(there.heard(told.front(), start + milliseconds(210)));
    BOOST_TEST(there.contains("e1", 7, start + milliseconds(210)));
    BOOST_TEST(!there.contains("e1", 8, start + milliseconds(210)));
    BOOST_TEST(there.statements(start + milliseconds(210)).empty());
}

// A refusal that was no crash must not keep a sound upstream out of use.
BOOST_AUTO_TEST_CASE(are_tried_again_first_by_the_daemon_that_was_refused)
{
    ended_processes here;
    ended_processes there;
    here.refused("e1", 7, start);
    there.heard({"e1", 7, duration::zero()}, start);
    const auto later = start + milliseconds(1100);
    BOOST_TEST(!here.contains("e1", 7, later));
    BOOST_TEST(there.contains("e1", 7, later));
    BOOST_TEST(!there.contains("e1", 7, start + milliseconds(2000)));
    there.expire(start + milliseconds(2000));
    BOOST_TEST(there.size() == 0U);
}

BOOST_AUTO_TEST_CASE(are_forgotten_when_another_incarnation_is_listed)
{
    ended_processes known;
    known.refused("e1", 7, start);
    known.listed("e1", 7);
    BOOST_TEST(known.contains("e1", 7, start));
    known.listed("e1", 8);
    BOOST_TEST(known.size() == 0U);
}

BOOST_AUTO_TEST_CASE(are_bounded_regardless_of_reports)
{
    ended_processes known;
    for (int i = 0; i < 10000; ++i) {
        known.heard({"e" + std::to_string(i), 1, duration::zero()}, start);
    }
    BOOST_TEST(known.size() <= 4096U);
    BOOST_TEST(!known.heard({"late", 1, seconds(5)}, start));
}

BOOST_AUTO_TEST_SUITE_END()
