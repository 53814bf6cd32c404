#include "router/suspicion_rows.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

BOOST_AUTO_TEST_SUITE(a_row_of_suspicions)

BOOST_AUTO_TEST_CASE(keeps_requests_crashes_and_ages)
{
    const std::vector<suspicion> written = {{"17", 2, seconds(30)}, {"18", 1, duration::zero()}};
    const auto read = decode_suspicions(encode_suspicions(written, 1000000), 1005000);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read.value().size() == 2U);
    BOOST_TEST((read.value().front() == suspicion{"17", 2, seconds(35)}));
    BOOST_TEST((read.value().back() == suspicion{"18", 1, seconds(5)}));
}

BOOST_AUTO_TEST_CASE(of_a_clock_that_is_ahead_has_no_negative_age)
{
    const auto read =
        decode_suspicions(encode_suspicions(std::vector<suspicion>{{"17", 2, seconds(1)}}, 9000), 1000);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read.value().front().age == duration::zero()));
}

BOOST_AUTO_TEST_CASE(is_told_from_damaged_ones)
{
    for (const auto* text : {"", "[", "[[1]]", R"([["17", "x", 0]])", R"({"a": 1})", "[17]"}) {
        BOOST_TEST(!decode_suspicions(text, 0).has_value(), text);
    }
    BOOST_TEST(decode_suspicions("[]", 0).value().empty());
}

BOOST_AUTO_TEST_SUITE_END()
