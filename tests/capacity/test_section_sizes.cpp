#include "capacity/section_sizes.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace clementinegap;

namespace {

constexpr std::size_t engines = 50;

} // namespace

BOOST_AUTO_TEST_SUITE(sizes_of_sections)

BOOST_AUTO_TEST_CASE(follow_the_demand_of_the_last_seconds_while_the_engines_suffice)
{
    const std::vector<section_demand> demands = {{4, 1, 0}, {12, 3, 1}};
    const auto sizes = section_sizes(demands, engines);
    BOOST_TEST(sizes[0] + sizes[1] == 50.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(sizes[0] == 13.0, boost::test_tools::tolerance(1e-9));

    BOOST_TEST_CONTEXT("a burst of the last second counts at once")
    {
        const std::vector<section_demand> burst = {{4, 16, 0}, {12, 12, 1}};
        BOOST_TEST(section_sizes(burst, engines)[0] > 25.0);
    }
}

// For seconds after a burst of urgent short streams, their section kept half of the engines at a tenth of
// their capacity while long prompts were refused.
BOOST_AUTO_TEST_CASE(do_not_keep_engines_for_a_burst_that_has_ended_while_others_lack_them)
{
    const std::vector<section_demand> demands = {{25, 4, 0}, {20, 30, 1}};
    const auto sizes = section_sizes(demands, engines);
    BOOST_TEST(sizes[0] < 8.0);
    BOOST_TEST(sizes[1] > 42.0);
}

BOOST_AUTO_TEST_CASE(give_the_more_urgent_what_they_need_if_the_engines_do_not_suffice)
{
    const std::vector<section_demand> demands = {{30, 30, 1}, {17, 17, 0}};
    const auto sizes = section_sizes(demands, engines);
    BOOST_TEST(sizes[1] == 20.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(sizes[0] == 30.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(are_at_least_one_engine_each)
{
    for (const double work : {0.0, 1.0, 100.0, 10000.0}) {
        const std::vector<section_demand> demands = {{work, work, 0}, {0, 0, 1}, {work, 0, 2}};
        const auto sizes = section_sizes(demands, 4);
        BOOST_TEST(std::accumulate(sizes.begin(), sizes.end(), 0.0) <= 4.0 + 1e-9);
        for (const double each : sizes) {
            BOOST_TEST(each >= 1.0);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
