#include "routing/notice_simulation.h"
#include "routing/random_router_run.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using clementinegap::testing::notice_simulation;
using clementinegap::testing::random_router_run;

BOOST_AUTO_TEST_SUITE(a_router_under_random_schedules)

BOOST_AUTO_TEST_CASE(keeps_every_invariant)
{
    // Other seeds can be run by hand with CG_SEED=1000000 CG_RUNS=200000.
    const char* seed_text = std::getenv("CG_SEED");
    const char* runs_text = std::getenv("CG_RUNS");
    const auto first = static_cast<std::uint32_t>(seed_text == nullptr ? 1 : std::atoi(seed_text));
    const auto runs = static_cast<std::uint32_t>(runs_text == nullptr ? 10000 : std::atoi(runs_text));
    for (std::uint32_t seed = first; seed < first + runs; ++seed) {
        random_router_run schedule(seed);
        BOOST_REQUIRE_MESSAGE(schedule.run(), "seed " << seed << ": " << schedule.broken());
    }
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_upstreams_that_leave_or_back_off)
{
    const char* seed_text = std::getenv("CG_SEED");
    const char* runs_text = std::getenv("CG_RUNS");
    const auto first = static_cast<std::uint32_t>(seed_text == nullptr ? 1 : std::atoi(seed_text));
    const auto runs = static_cast<std::uint32_t>(runs_text == nullptr ? 1000 : std::atoi(runs_text));
    int notices = 0;
    for (std::uint32_t seed = first; seed < first + runs; ++seed) {
        notice_simulation schedule(seed);
        BOOST_REQUIRE_MESSAGE(schedule.run(), "seed " << seed << ": " << schedule.broken());
        notices += schedule.notices();
    }
    BOOST_TEST(notices > static_cast<int>(runs));
}

BOOST_AUTO_TEST_SUITE_END()
