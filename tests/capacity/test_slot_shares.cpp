#include "capacity/slot_shares.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

constexpr time_point start{seconds(1000)};

/// An upstream with 6 slots, 60 ms a request, that 29 daemons share: a fifth of a request for each.
struct shared_upstream {
    slot_shares shares;
    time_point now{start};
    slot_use use{"p1", 6, milliseconds(60), 29};

    void reject()
    {
        shares.sent(use, now);
        shares.ended("p1");
        shares.rejected(use, now);
    }
    void serve()
    {
        shares.sent(use, now);
        shares.ended("p1");
        shares.succeeded(use, now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(shares_of_an_upstreams_slots)

// Deployments with free slots must see no wait.
BOOST_FIXTURE_TEST_CASE(do_not_restrict_it_before_it_rejects, shared_upstream)
{
    for (int i = 0; i < 100; ++i) {
        shares.sent(use, now);
        BOOST_TEST(!shares.is_blocked("p1", now));
    }
}

BOOST_FIXTURE_TEST_CASE(under_one_request_space_the_requests, shared_upstream)
{
    reject();
    int sent = 0;
    for (; now < start + seconds(1); now += milliseconds(1)) {
        if (!shares.is_blocked("p1", now)) {
            shares.sent(use, now);
            shares.ended("p1");
            ++sent;
        }
    }
    // Three times 6 / 29 slots of 60 ms are 10.3 requests per second.
    BOOST_TEST(sent >= 9);
    BOOST_TEST(sent <= 12);
}

BOOST_FIXTURE_TEST_CASE(limit_the_requests_in_flight_where_they_are_larger, shared_upstream)
{
    use.competitors = 6;
    reject();
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(!shares.is_blocked("p1", now));
        shares.sent(use, now);
    }
    BOOST_TEST(shares.is_blocked("p1", now));
    BOOST_TEST(shares.available_at("p1", now).has_value());
    shares.ended("p1");
    BOOST_TEST(!shares.is_blocked("p1", now));
}

BOOST_FIXTURE_TEST_CASE(fall_by_rejections_and_rise_by_successes, shared_upstream)
{
    reject();
    const auto even = *shares.share("p1", now);
    now += milliseconds(100);
    reject();
    const auto reduced = *shares.share("p1", now);
    BOOST_TEST(reduced < even);
    serve();
    BOOST_TEST(*shares.share("p1", now) > reduced);
}

// Rejections of requests that were sent together are one sign, not several.
BOOST_FIXTURE_TEST_CASE(fall_once_for_rejections_at_the_same_time, shared_upstream)
{
    reject();
    now += milliseconds(100);
    reject();
    const auto reduced = *shares.share("p1", now);
    reject();
    BOOST_TEST(*shares.share("p1", now) == reduced);
}

BOOST_FIXTURE_TEST_CASE(always_allow_a_probe, shared_upstream)
{
    for (int i = 0; i < 50; ++i) {
        reject();
        now += milliseconds(300);
    }
    BOOST_TEST(shares.rate("p1", now) > 3); // An even share.
    now += milliseconds(300);
    BOOST_TEST(!shares.is_blocked("p1", now));
}

BOOST_FIXTURE_TEST_CASE(end_some_time_after_the_last_rejection, shared_upstream)
{
    reject();
    now += slot_shares::restricted_for;
    BOOST_TEST(!shares.is_blocked("p1", now));
    BOOST_TEST(!shares.share("p1", now).has_value());
}

// Daemons with the same stale reports must not all choose the same upstream.
BOOST_FIXTURE_TEST_CASE(tell_how_much_was_sent_to_it_lately, shared_upstream)
{
    BOOST_TEST(!shares.ahead_of_share("p1", now).has_value());
    reject();
    const auto before = *shares.ahead_of_share("p1", now);
    shares.sent(use, now);
    BOOST_TEST(*shares.ahead_of_share("p1", now) > before);
}

BOOST_AUTO_TEST_SUITE_END()
