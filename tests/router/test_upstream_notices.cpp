#include "router/gateway_fixture.h"
#include "router/report_codec.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;
using clementinegap::testing::gateway_fixture;
using clementinegap::testing::test_caller;
using behaviour = routed_upstream::behaviour;

namespace {

const std::string generation = "X-Model: m\r\nX-Token-Counts: 100,15\r\nX-Prompt-Prefix: a:60,b:40\r\n";

/// The two upstreams, ordered by which one received the first request.
struct ordered_by_use : gateway_fixture {
    routed_upstream& first() { return upstream.seen().empty() ? other : upstream; }
    routed_upstream& second() { return upstream.seen().empty() ? upstream : other; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_entry_gateway_with_notices_of_upstreams)

BOOST_FIXTURE_TEST_SUITE(that_they_are_leaving, ordered_by_use)

BOOST_AUTO_TEST_CASE(sends_them_nothing_more)
{
    upstream.begin_to_leave();
    other.begin_to_leave();
    BOOST_TEST(call("/book/x").status == 200);
    auto& leaving = first();
    BOOST_TEST(call("/book/x").status == 200);
    BOOST_TEST(leaving.seen().size() == 1U);
    // Both upstreams have now announced that they are leaving.
    const auto refused = call("/book/x");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.head.find("Retry-After") != nullptr);
    BOOST_TEST(requests_received() == 2U);
}

BOOST_AUTO_TEST_CASE(continues_a_stream_that_is_running_there)
{
    upstream.begin_to_leave();
    other.begin_to_leave();
    const auto got = call("/guide/x", generation);
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.body.find("piece 5") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(accepts_notices_in_failures_and_refusals)
{
    for (auto* each : {&upstream, &other}) {
        each->begin_to_leave();
        each->script({behaviour::refuse, behaviour::fail});
    }
    call("/book/x");
    call("/book/x");
    BOOST_TEST(requests_received() == 2U);
    call("/book/x");
    BOOST_TEST(requests_received() == 2U);
}

BOOST_AUTO_TEST_CASE(ignores_notices_of_another_process_at_the_address)
{
    for (auto* each : {&upstream, &other}) {
        each->begin_to_leave();
        each->script({behaviour::other_instance});
    }
    call("/look/x");
    const auto before = requests_received();
    // The responses come from other processes than the addressed ones: the upstreams are avoided for a
    // moment, but not treated as leaving.
    BOOST_TEST(router.report(event_loop::now()).leave_notices.empty());
    BOOST_TEST(before == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_ask_for_backoff, ordered_by_use)

BOOST_AUTO_TEST_CASE(sends_nothing_until_its_end_and_queues_requests)
{
    for (auto* each : {&upstream, &other}) {
        each->set_pause("0.4");
        each->script({behaviour::ask_for_pause});
    }
    // Both upstreams refuse in turn, so the caller gets a 503 with a Retry-After header.
    const auto refused = call("/look/x");
    BOOST_TEST(refused.status == 503);
    BOOST_REQUIRE(refused.head.find("Retry-After") != nullptr);
    BOOST_TEST(std::stod(*refused.head.find("Retry-After")) > 0.3);
    BOOST_TEST(std::stod(*refused.head.find("Retry-After")) < 1.0);
    BOOST_TEST(requests_received() == 2U);
    const auto begun = event_loop::now();
    const auto served = call("/book/x");
    BOOST_TEST(served.status == 200);
    BOOST_TEST(to_milliseconds(event_loop::now() - begun) >= 350);
    BOOST_TEST(requests_received() == 3U);
}

BOOST_AUTO_TEST_CASE(recalls_a_send_whose_connection_is_not_established)
{
    test_caller caller(loop, gateway->port());
    caller.send(request("/book/x", "early", "", "b"));
    BOOST_REQUIRE(run_until([&] { return router.open_requests() == 1; }));
    // The sockets are connected, but the event loop has not reported it yet.
    gateway->post(upstream_notice{"u1", 1, false, seconds(30), ""});
    gateway->post(upstream_notice{"u2", 1, false, milliseconds(300), ""});
    BOOST_TEST(run_until([&] { return caller.result().ended; }));
    BOOST_TEST(caller.result().status == 200);
    BOOST_TEST(upstream.seen().empty());
    BOOST_TEST(other.seen().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ignores_an_unparsable_time)
{
    for (auto* each : {&upstream, &other}) {
        each->set_pause("soon");
        each->script({behaviour::ask_for_pause});
    }
    call("/look/x");
    BOOST_TEST(call("/book/x").status == 200);
    BOOST_TEST(counters.text().find("kind=\"upstream.notice_unreadable\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_name_a_rate_limit, ordered_by_use)

BOOST_AUTO_TEST_CASE(serves_callers_elsewhere)
{
    upstream.name_limit("0.5");
    for (int i = 0; i < 30; ++i) {
        BOOST_TEST(call("/book/x").status == 200);
    }
    // It learns the limit with the first response.
    BOOST_TEST(upstream.seen().size() <= 1U);
}

BOOST_AUTO_TEST_CASE(refuses_truthfully_and_serves_at_the_limit_once_it_has_joined_the_fleet)
{
    upstream.name_limit("4");
    other.name_limit("4");
    while (requests_received() < 2) {
        BOOST_TEST(call("/book/x").status == 200);
    }
    const auto refused = call("/book/x");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.head.find("Retry-After") != nullptr);
    BOOST_TEST(requests_received() == 2U);
    BOOST_TEST(run_until([&] { return call("/book/x").status == 200; }));
    const auto begin = event_loop::now();
    const auto before = requests_received();
    while (event_loop::now() - begin < seconds(2)) {
        BOOST_TEST(call("/book/x").status == 200);
    }
    // Two limits of 4 a second over two seconds, a head start of half a second and one request each.
    BOOST_TEST(requests_received() - before <= 22U);
    BOOST_TEST(requests_received() - before >= 8U);
}

BOOST_AUTO_TEST_CASE(serves_as_before_once_the_limit_has_ended)
{
    upstream.name_limit("5");
    other.name_limit("5");
    while (requests_received() < 2) {
        call("/book/x");
    }
    upstream.name_limit("");
    other.name_limit("");
    BOOST_TEST(run_until([&] { return call("/book/x").status == 200; }));
    // With one request at a time, the other upstream may not be used, so that its limit does not matter.
    BOOST_TEST(router.limits().current().size() <= 1U);
    for (int i = 0; i < 30; ++i) {
        BOOST_TEST(call("/book/x").status == 200);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(carries_notices_in_its_reports)
{
    load_report report;
    report.daemon = "entry-1";
    report.loads = {{"u1", {1, 2, 3, 4}}};
    report.leave_notices = {{"u2", 1234567890123}};
    report.limits = {{"u1", 3, 1.5}, {"u2", 4, std::nullopt}};
    const auto decoded = decode_report(encode_report(report, {}));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value().report.loads == report.loads));
    BOOST_TEST((decoded.value().report.leave_notices == report.leave_notices));
    BOOST_TEST((decoded.value().report.limits == report.limits));
    BOOST_TEST(!decoded.value().report.usage.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
