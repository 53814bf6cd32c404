#include "routing/limit_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

limit_simulation::plan small_site(bool generations = false)
{
    limit_simulation::plan result;
    result.upstreams = generations ? 6 : 4;
    result.generations = generations;
    result.response_time = milliseconds(generations ? 400 : 60);
    return result;
}

limit_simulation::plan large_fleet()
{
    limit_simulation::plan result;
    result.daemons = 200;
    result.upstreams = 12;
    result.requests_per_second = 600;
    result.report_interval = milliseconds(700);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_rate_limit_named_to_all_daemons)

BOOST_AUTO_TEST_CASE(is_kept_by_their_sum_while_some_upstreams_name_it)
{
    for (const bool generations : {false, true}) {
        for (const double limit : {0.0, 0.3, 1.0, 4.0, 12.0}) {
            BOOST_TEST_CONTEXT("generations " << generations << " limit " << limit)
            {
                limit_simulation fleet(small_site(generations));
                fleet.pass(seconds(4));
                fleet.set_limit(0, limit);
                fleet.set_limit(1, limit);
                fleet.pass(seconds(20));
                BOOST_TEST(fleet.broken() == "");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_kept_by_hundreds_of_daemons)
{
    limit_simulation fleet(large_fleet());
    fleet.pass(seconds(3));
    fleet.set_limit(0, 1);
    fleet.set_limit(1, 9);
    fleet.pass(seconds(12));
    BOOST_TEST(fleet.broken() == "");
}

BOOST_AUTO_TEST_SUITE_END()
