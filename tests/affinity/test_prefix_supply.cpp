#include "affinity/prefix_supply.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

/// 4,000 tokens that take 100 ms to read and 20 ms to copy.
missing_prefix long_prefix(std::uint32_t running)
{
    return {4000, running, 40, 0, 200};
}

missing_prefix without_copy(missing_prefix prefix)
{
    prefix.copied_tokens_per_ms = 0;
    return prefix;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_supply_of_a_missing_prefix)

BOOST_AUTO_TEST_CASE(costs_nothing_where_nothing_is_missing)
{
    const auto supply = cheapest_prefix_supply({0, 30, 40, 0, 200});
    BOOST_TEST((supply.cost == duration::zero()));
    BOOST_TEST(supply.read == 0U);
    BOOST_TEST(!supply.copies);
}

// A constant weight made busy engines read what others had cached, and kept sessions from idle ones.
BOOST_AUTO_TEST_CASE(costs_more_the_more_requests_the_reading_delays)
{
    const auto idle = cheapest_prefix_supply(without_copy(long_prefix(0)));
    const auto busy = cheapest_prefix_supply(without_copy(long_prefix(20)));
    BOOST_TEST((idle.cost == milliseconds(400)));
    BOOST_TEST((busy.cost == milliseconds(1400)));
    BOOST_TEST(idle.read == 4000U);

    BOOST_TEST_CONTEXT(
        "so that a request waits for the engine that has the prefix before a busy one reads it")
    {
        const duration wait_at_holder = milliseconds(600);
        BOOST_TEST((idle.cost < wait_at_holder));
        BOOST_TEST((busy.cost > wait_at_holder));
    }
    BOOST_TEST_CONTEXT("a short prefix is worth little waiting")
    {
        auto prefix = without_copy(long_prefix(20));
        prefix.tokens = 70;
        BOOST_TEST((cheapest_prefix_supply(prefix).cost < milliseconds(40)));
    }
}

BOOST_AUTO_TEST_CASE(is_a_copy_where_that_saves_enough)
{
    BOOST_TEST_CONTEXT("at an idle engine a copy must be fast")
    {
        BOOST_TEST(cheapest_prefix_supply(long_prefix(0)).copies);
        auto prefix = long_prefix(0);
        prefix.copied_tokens_per_ms = 12;
        BOOST_TEST(!cheapest_prefix_supply(prefix).copies);
        prefix.running = 20;
        BOOST_TEST(cheapest_prefix_supply(prefix).copies);
    }
    BOOST_TEST_CONTEXT("at a busy engine the copy delays nobody")
    {
        const auto supply = cheapest_prefix_supply(long_prefix(20));
        BOOST_TEST(supply.copies);
        BOOST_TEST(supply.read == 0U);
        BOOST_TEST((supply.cost == milliseconds(120)));
    }
    BOOST_TEST_CONTEXT("what the source lacks too is read")
    {
        auto prefix = long_prefix(20);
        prefix.lacking_at_source = 1000;
        const auto supply = cheapest_prefix_supply(prefix);
        BOOST_TEST(supply.copies);
        BOOST_TEST(supply.read == 1000U);
    }
    BOOST_TEST_CONTEXT("a source that lacks as much is of no use")
    {
        auto prefix = long_prefix(20);
        prefix.lacking_at_source = 4000;
        BOOST_TEST(!cheapest_prefix_supply(prefix).copies);
    }
    BOOST_TEST_CONTEXT("a slow link is worse than reading")
    {
        auto prefix = long_prefix(2);
        prefix.copied_tokens_per_ms = 7;
        BOOST_TEST(!cheapest_prefix_supply(prefix).copies);
    }
}

BOOST_AUTO_TEST_SUITE_END()
