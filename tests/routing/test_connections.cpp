#include "routing/router_fixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

struct known_connections final : connection_view {
    std::set<std::string> idle;
    bool has_idle_connection(const upstream_record& upstream, time_point) const override
    {
        return idle.contains(upstream.id);
    }
};

struct with_connections {
    known_connections connections; // Outlives the router.
    router_fixture at;
    with_connections() { at.router.set_connections(&connections); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_idle_connection, with_connections)

// A new connection takes time of its engine.
BOOST_AUTO_TEST_CASE(makes_an_engine_the_choice_among_equal_ones)
{
    connections.idle = {"e7"};
    at.arrive_generation("/guide/x", 1, 100, 0);
    BOOST_TEST(at.sent_to() == "e7");
}

BOOST_AUTO_TEST_CASE(does_not_draw_requests_to_a_busy_engine)
{
    connections.idle = {"e7"};
    for (int i = 0; i < 12; ++i) {
        at.arrive_generation("/guide/x", 1, 2000, 0);
    }
    connections.idle = {at.sent_to()};
    const auto busy = at.sent_to();
    at.arrive_generation("/guide/x", 2, 2000, 0);
    BOOST_TEST(at.sent_to() != busy);
}

BOOST_AUTO_TEST_SUITE_END()
