#include "platform/notice_headers.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

using namespace clementinegap;

namespace {

upstream_record asked()
{
    upstream_record record;
    record.id = "u1";
    record.incarnation = 77;
    return record;
}

upstream_notice notice_of(int status, std::vector<http_header> headers)
{
    http_head head;
    head.status = status;
    head.headers = std::move(headers);
    return decode_notice(head, asked());
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_word_of_an_upstream_that_it_leaves)

BOOST_AUTO_TEST_CASE(is_read_from_any_answer)
{
    for (const int status : {200, 206, 404, 500, 503, 504}) {
        const auto notice = notice_of(status, {{"server-leaving", "1"}});
        BOOST_TEST(notice.leaving);
        BOOST_TEST(notice.upstream == "u1");
        BOOST_TEST((notice.incarnation == 77));
    }
    BOOST_TEST(!notice_of(200, {}).leaving);
}

BOOST_AUTO_TEST_CASE(counts_when_it_is_repeated_or_contradicted)
{
    BOOST_TEST(notice_of(200, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}).leaving);
    BOOST_TEST(notice_of(200, {{"Server-Leaving", "1, 1"}}).leaving);
    BOOST_TEST(notice_of(200, {{"Server-Leaving", "1"}, {"Server-Leaving", "x"}}).leaving);
    const auto no = notice_of(200, {{"Server-Leaving", "0"}});
    BOOST_TEST(!no.leaving);
    BOOST_TEST(no.unreadable.empty());
}

BOOST_AUTO_TEST_CASE(means_nothing_when_it_is_garbled)
{
    for (const auto* value : {"", "yes", "11", "1x", "\x01\x02", "true"}) {
        const auto notice = notice_of(200, {{"Server-Leaving", value}});
        BOOST_TEST(!notice.leaving);
        BOOST_TEST(!notice.unreadable.empty());
    }
}

BOOST_AUTO_TEST_CASE(is_of_another_upstream_when_that_has_the_address)
{
    BOOST_TEST(!notice_of(421, {{"Server-Leaving", "1"}}).leaving);
    const auto named = notice_of(421, {{"Server-Leaving", "1"}, {"X-Instance-Id", "u9"}});
    BOOST_TEST(named.leaving);
    BOOST_TEST(named.upstream == "u9");
    BOOST_TEST(!named.incarnation.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_pause_that_an_upstream_asks_for)

BOOST_AUTO_TEST_CASE(is_whole_or_fractional_seconds)
{
    BOOST_TEST((notice_of(503, {{"Retry-After", "2"}}).backoff == seconds(2)));
    BOOST_TEST((notice_of(503, {{"retry-after", "0.25"}}).backoff == milliseconds(250)));
    BOOST_TEST((notice_of(429, {{"Retry-After", "1"}}).backoff == seconds(1)));
    BOOST_TEST((notice_of(503, {{"Retry-After", "0"}}).backoff == duration::zero()));
}

BOOST_AUTO_TEST_CASE(is_told_with_a_refusal_only)
{
    for (const int status : {200, 301, 404, 500, 504}) {
        BOOST_TEST(!notice_of(status, {{"Retry-After", "2"}}).backoff.has_value());
    }
}

BOOST_AUTO_TEST_CASE(is_the_longest_of_several)
{
    BOOST_TEST((notice_of(503, {{"Retry-After", "1"}, {"Retry-After", "3"}}).backoff == seconds(3)));
    BOOST_TEST((notice_of(503, {{"Retry-After", "4, 2"}}).backoff == seconds(4)));
    const auto odd = notice_of(503, {{"Retry-After", "soon"}, {"Retry-After", "3"}});
    BOOST_TEST((odd.backoff == seconds(3)));
    BOOST_TEST(odd.unreadable == "Retry-After soon");
}

BOOST_AUTO_TEST_CASE(is_bounded_and_never_negative)
{
    for (const auto* value : {"1e300", "99999999999999999999", "86401"}) {
        BOOST_TEST((notice_of(503, {{"Retry-After", value}}).backoff == longest_pause_text));
    }
    for (const auto* value :
         {"-1", "-0.001", "nan", "inf", "", "2s", "0x10", "Fri, 04 Dec 2026 12:00:00 GMT"}) {
        const auto notice = notice_of(503, {{"Retry-After", value}});
        BOOST_TEST(!notice.backoff.has_value(), value);
        BOOST_TEST(!notice.unreadable.empty(), value);
    }
}

BOOST_AUTO_TEST_CASE(keeps_its_bounds_whatever_is_sent)
{
    std::minstd_rand random(20261204);
    const std::string letters = "0123456789.,eE+-x \t\x01nif1";
    int read = 0;
    int unread = 0;
    for (int i = 0; i < 50000; ++i) {
        std::string value;
        for (auto length = random() % 12; length > 0; --length) {
            value.push_back(letters[random() % letters.size()]);
        }
        const auto notice = notice_of(503, {{"Retry-After", value}, {"Server-Leaving", value}});
        if (notice.backoff) {
            ++read;
            BOOST_REQUIRE((*notice.backoff >= duration::zero()));
            BOOST_REQUIRE((*notice.backoff <= longest_pause_text));
        }
        unread += notice.unreadable.empty() ? 0 : 1;
        BOOST_REQUIRE(notice.unreadable.size() < 100U);
        for (const char each : notice.unreadable) {
            BOOST_REQUIRE((each >= ' ' && each <= '~'));
        }
    }
    BOOST_TEST(read > 0);
    BOOST_TEST(unread > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_rate_limit_of_an_upstream)

BOOST_AUTO_TEST_CASE(is_read_from_any_answer)
{
    for (const int status : {200, 404, 429, 500, 503}) {
        BOOST_TEST(notice_of(status, {{"server-limit", "2.5"}}).limit_per_second.value_or(-1) == 2.5);
    }
    BOOST_TEST(notice_of(200, {{"Server-Limit", "0"}}).limit_per_second.value_or(-1) == 0.0);
    BOOST_TEST(!notice_of(200, {}).limit_per_second);
}

BOOST_AUTO_TEST_CASE(is_the_strictest_of_several)
{
    const auto notice = notice_of(200, {{"Server-Limit", "5"}, {"Server-Limit", "7, 3"}});
    BOOST_TEST(notice.limit_per_second.value_or(-1) == 3.0);
}

BOOST_AUTO_TEST_CASE(means_nothing_when_it_is_garbled)
{
    for (const auto* value : {"", "many", "-1", "1x", "nan", "inf", "\x01"}) {
        const auto notice = notice_of(200, {{"Server-Limit", value}, {"X-Response-Seal", "s"}});
        BOOST_TEST(!notice.limit_per_second);
        BOOST_TEST(!notice.would_name_limit);
        BOOST_TEST(!notice.unreadable.empty());
    }
}

BOOST_AUTO_TEST_CASE(has_ended_only_if_a_sealed_success_names_none)
{
    BOOST_TEST(notice_of(200, {{"X-Response-Seal", "s"}}).would_name_limit);
    BOOST_TEST(!notice_of(200, {}).would_name_limit);
    BOOST_TEST(!notice_of(500, {{"X-Response-Seal", "s"}}).would_name_limit);
    BOOST_TEST(!notice_of(503, {{"X-Not-Executed", "1"}}).would_name_limit);
    BOOST_TEST(!notice_of(421, {{"X-Instance-Id", "other"}, {"X-Response-Seal", "s"}}).would_name_limit);
}

BOOST_AUTO_TEST_SUITE_END()
