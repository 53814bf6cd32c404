#include "router/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;
using clementinegap::testing::gateway_fixture;
using clementinegap::testing::test_caller;
using behaviour = routed_upstream::behaviour;

namespace {

const std::string answer_body = "the upstream's own bytes";
const std::string generation = "X-Model: m\r\nX-Token-Counts: 100,15\r\nX-Prompt-Prefix: a:60,b:40\r\n";

/// Gives both upstreams the same script, because either may be chosen.
void script_both(gateway_fixture& at, const std::deque<behaviour>& next)
{
    at.upstream.script(next);
    at.other.script(next);
}

const routed_upstream::seen_request& last_seen(const gateway_fixture& at)
{
    return at.upstream.seen().empty() ? at.other.seen().back() : at.upstream.seen().back();
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_entry_gateway)

BOOST_FIXTURE_TEST_SUITE(with_sound_upstreams, gateway_fixture)

BOOST_AUTO_TEST_CASE(passes_a_request_and_its_answer_unchanged)
{
    const auto got = call("/book/x?a=b", "X-Tenant: forged\r\nX-Extra: 1\r\n", "the body");
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.body == answer_body);
    BOOST_TEST(*got.head.find("X-Response-Seal") == "s.24");
    const auto& seen = last_seen(*this);
    BOOST_TEST(seen.body == "the body");
    BOOST_TEST(seen.head.target == "/book/x?a=b");
    BOOST_TEST(*seen.head.find("X-Tenant") == "team");
    BOOST_TEST(*seen.head.find("X-Extra") == "1");
    BOOST_TEST(seen.head.find("Authorization") == nullptr);
    BOOST_TEST(seen.head.find("X-Expect-Instance") != nullptr);
    BOOST_TEST(std::stoi(*seen.head.find("X-Deadline-Ms")) <= 14000);
}

// Guards against bodies after own answers to HEAD, which the caller met in place of its next answer.
BOOST_AUTO_TEST_CASE(answers_head_without_a_body_and_serves_the_next_request)
{
    for (const std::string refused : {"HEAD /nowhere HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n",
                                      "HEAD /look/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\n\r\n"}) {
        struct raw_caller final : tcp_connection_events {
            void on_bytes(std::string_view bytes) override { received.append(bytes); }
            void on_closed(close_cause) override {}
            std::string received;
        } events;
        tcp_connection caller(loop, events);
        caller.connect("127.0.0.1", gateway->port());
        caller.write(refused);
        BOOST_REQUIRE(run_until([&] { return events.received.find("\r\n\r\n") != std::string::npos; }));
        BOOST_TEST(events.received.starts_with("HTTP/1.1 40"));
        BOOST_TEST(events.received.find("Content-Length: ") != std::string::npos);
        BOOST_TEST(events.received.ends_with("\r\n\r\n"));
        events.received.clear();
        caller.write(request("/look/x", "after-" + std::to_string(refused.size()), "", "x"));
        BOOST_REQUIRE(run_until([&] { return events.received.ends_with(answer_body); }));
        BOOST_TEST(events.received.starts_with("HTTP/1.1 200 "));
    }
}

BOOST_AUTO_TEST_CASE(serves_many_requests_on_one_connection_and_keeps_those_to_upstreams)
{
    test_caller caller(loop, gateway->port());
    for (int i = 0; i < 20; ++i) {
        caller.send(request("/book/x", "many-" + std::to_string(i), "", "b"));
        BOOST_REQUIRE(run_until([&] { return caller.result().ended || caller.result().failed; }));
        BOOST_TEST(caller.result().status == 200);
    }
    BOOST_TEST(upstream.connections() + other.connections() <= 2U);
}

BOOST_AUTO_TEST_CASE(exports_metrics_of_requests)
{
    call("/book/x");
    call("/nowhere/x");
    const auto text = counters.text();
    BOOST_TEST(text.find("clementinegap_requests_total{class=\"book\",code=\"ok\"") != std::string::npos);
    BOOST_TEST(text.find("clementinegap_request_seconds_count") != std::string::npos);
    BOOST_TEST(text.find("kind=\"request.refused\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(reads_a_chunked_body)
{
    const auto got =
        call_raw("POST /book/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: c\r\nAuthorization: Bearer k\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST(got.status == 200);
    BOOST_TEST(last_seen(*this).body == "abcde");
}

BOOST_AUTO_TEST_CASE(passes_on_a_stream_of_events)
{
    const auto got = call("/guide/x", generation);
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.head.chunked);
    BOOST_TEST(got.body.find("id: 1\ndata: piece 1\n\nid: 2\n") == 0U);
    BOOST_TEST(got.body.find("piece 5") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(rejects_malformed_requests)
{
    BOOST_TEST(call("/nowhere/x").status == 404);
    BOOST_TEST(call("/book/x", "X-Big: " + std::string(3000, 'a') + "\r\n").status == 431);
    BOOST_TEST(call("/book/x", "", std::string(6000, 'a')).status == 413);
    BOOST_TEST(call("/book/x", "Transfer-Encoding: chunked\r\n").status == 400);
    BOOST_TEST(call("/book/x", "Host: second\r\n").status == 400);
    BOOST_TEST(call_raw("GET / HTTP/1.1\nHost: h\n\n\r\n\r\n").status == 400);
    BOOST_TEST(call_raw("\x16\x03\x01 no http\r\n\r\n").status == 400);
    BOOST_TEST(call_raw("POST /book/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: z\r\nAuthorization: Bearer no\r\n"
                        "Content-Length: 0\r\n\r\n")
                   .status == 401);
    BOOST_TEST(requests_received() == 0U);
    BOOST_TEST(call("/book/x").status == 200);
}

BOOST_AUTO_TEST_CASE(answers_at_the_routes_timeout)
{
    script_both(*this, {behaviour::hang});
    const auto got = call("/short/x");
    BOOST_TEST(got.status == 504);
    BOOST_TEST(run_until([&] { return upstream.abandoned() + other.abandoned() == 1; }));
}

BOOST_AUTO_TEST_CASE(stops_the_upstream_when_the_caller_leaves)
{
    script_both(*this, {behaviour::hang});
    {
        test_caller caller(loop, gateway->port());
        caller.send(request("/book/x", "leaves", "", "b"));
        BOOST_REQUIRE(run_until([&] { return requests_received() == 1; }));
    }
    BOOST_TEST(run_until([&] { return upstream.abandoned() + other.abandoned() == 1; }));
    BOOST_TEST(router.open_requests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_faulty_upstreams, gateway_fixture)

BOOST_AUTO_TEST_CASE(gives_a_lookup_its_answer_over_every_single_fault)
{
    for (const auto fault :
         {behaviour::lose, behaviour::truncate, behaviour::garbage, behaviour::unsealed, behaviour::refuse,
          behaviour::other_instance, behaviour::no_length_reset, behaviour::fail}) {
        gateway_fixture fresh;
        // The upstream that is tried first has the fault; the other one responds normally.
        fresh.upstream.script({fault});
        fresh.other.script({fault});
        test_caller caller(fresh.loop, fresh.gateway->port());
        caller.send(request("/look/x", "f", "", ""));
        BOOST_REQUIRE(fresh.run_until([&] { return fresh.requests_received() >= 1; }));
        (fresh.upstream.seen().empty() ? fresh.upstream : fresh.other).script({});
        BOOST_REQUIRE(fresh.run_until([&] { return caller.result().ended || caller.result().failed; }));
        BOOST_TEST(caller.result().status == 200, static_cast<int>(fault));
        BOOST_TEST(caller.result().body == answer_body);
        BOOST_TEST(fresh.requests_received() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(runs_a_booking_once_and_reports_its_execution_state)
{
    const std::pair<behaviour, int> expected[] = {{behaviour::lose, 502},          {behaviour::truncate, 502},
                                                  {behaviour::garbage, 502},       {behaviour::unsealed, 502},
                                                  {behaviour::refuse, 503},        {behaviour::fail, 500},
                                                  {behaviour::other_instance, 503}};
    for (const auto& [fault, status] : expected) {
        gateway_fixture fresh;
        script_both(fresh, {fault});
        BOOST_TEST(fresh.call("/book/x").status == status, static_cast<int>(fault));
        BOOST_TEST(fresh.requests_received() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(passes_on_an_answer_without_a_length_as_such)
{
    script_both(*this, {behaviour::no_length});
    const auto got = call("/book/x");
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.body == answer_body);
    BOOST_TEST(!got.head.content_length.has_value());
    BOOST_TEST(!got.head.chunked);
}

BOOST_AUTO_TEST_CASE(drops_answers_to_other_requests)
{
    script_both(*this, {behaviour::wrong_id_first, behaviour::extra_answer});
    test_caller caller(loop, gateway->port());
    for (int i = 0; i < 4; ++i) {
        caller.send(request("/book/x", "own-" + std::to_string(i), "", "b"));
        BOOST_REQUIRE(run_until([&] { return caller.result().ended || caller.result().failed; }));
        BOOST_TEST(caller.result().status == 200);
        BOOST_TEST(*caller.result().head.find("X-Request-Id") == "own-" + std::to_string(i));
        BOOST_TEST(caller.result().body == answer_body);
    }
}

BOOST_AUTO_TEST_CASE(resumes_a_broken_stream_without_a_gap_or_a_repeat)
{
    script_both(*this, {behaviour::stream_broken});
    test_caller caller(loop, gateway->port());
    caller.send(request("/ask/x", "ask", generation, "b"));
    BOOST_REQUIRE(run_until([&] { return requests_received() >= 1; }));
    (upstream.seen().empty() ? upstream : other).script({});
    BOOST_REQUIRE(run_until([&] { return caller.result().ended || caller.result().failed; }));
    BOOST_TEST(caller.result().ended);
    std::string expected;
    for (int event = 1; event <= routed_upstream::stream_events; ++event) {
        expected += "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
    }
    BOOST_TEST(caller.result().body == expected);
    BOOST_TEST(*last_seen(*this).head.find("X-Request-Id") == "ask");
}

BOOST_AUTO_TEST_CASE(cuts_a_broken_stream_that_may_not_be_resumed)
{
    script_both(*this, {behaviour::stream_broken});
    const auto got = call("/guide/x", generation);
    BOOST_TEST(got.failed);
    BOOST_TEST(!got.ended);
    BOOST_TEST(requests_received() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_ends_during_an_answer_without_a_length, gateway_fixture)

// Guards against early ends that look complete: an answer that ends with its connection is complete to its
// caller when the system closes the connection in order, as it does at the end of a process.
BOOST_AUTO_TEST_CASE(resets_the_callers_connection)
{
    const auto old_request = [](const std::string& path, const std::string& headers) {
        return "POST " + path + " HTTP/1.0\r\nHost: h\r\nX-Request-Id: old\r\nAuthorization: Bearer k\r\n" +
               headers + "Content-Length: 1\r\n\r\nx";
    };
    const std::pair<behaviour, std::string> plays[] = {
        {behaviour::stream_unframed_open, request("/guide/x", "new", generation, "b")},
        {behaviour::stream_unframed_open, old_request("/guide/x", generation)},
        {behaviour::no_length_open, request("/look/x", "long", "", "b")},
        {behaviour::no_length_open, old_request("/look/x", "")}};
    for (const auto& [how, bytes] : plays) {
        BOOST_TEST_CONTEXT(bytes)
        {
            gateway_fixture fresh;
            script_both(fresh, {how});
            test_caller caller(fresh.loop, fresh.gateway->port());
            caller.send(bytes);
            BOOST_REQUIRE(fresh.run_until([&] { return !caller.result().body.empty(); }));
            // Closes the descriptors without a word to callers, as the end of the process does.
            fresh.end_gateway();
            BOOST_REQUIRE(fresh.run_until([&] { return caller.result().ended || caller.result().failed; }));
            BOOST_TEST(caller.result().failed);
        }
    }
}

BOOST_AUTO_TEST_CASE(resets_the_connection_of_a_caller_without_chunks_whose_stream_has_chunks)
{
    upstream.set_pace(milliseconds(100));
    other.set_pace(milliseconds(100));
    test_caller caller(loop, gateway->port());
    caller.send("POST /guide/x HTTP/1.0\r\nHost: h\r\nX-Request-Id: o\r\nAuthorization: Bearer k\r\n" +
                generation + "Content-Length: 1\r\n\r\nx");
    BOOST_REQUIRE(run_until([&] { return !caller.result().body.empty(); }));
    BOOST_TEST(!caller.result().head.chunked);
    BOOST_TEST(caller.result().body.starts_with("id: 1\n"));
    end_gateway();
    BOOST_REQUIRE(run_until([&] { return caller.result().ended || caller.result().failed; }));
    BOOST_TEST(caller.result().failed);
}

BOOST_AUTO_TEST_CASE(still_ends_complete_answers_in_order)
{
    for (const auto how : {behaviour::stream_unframed, behaviour::stream}) {
        script_both(*this, {how});
        const auto got = call_raw(
            "POST /guide/x HTTP/1.0\r\nHost: h\r\nX-Request-Id: whole\r\nAuthorization: Bearer k\r\n" +
            generation + "Content-Length: 1\r\n\r\nx");
        BOOST_TEST(got.ended);
        BOOST_TEST(!got.head.chunked);
        BOOST_TEST(got.body.find("piece " + std::to_string(routed_upstream::stream_events)) !=
                   std::string::npos);
        script_both(*this, {});
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_follows_the_store, gateway_fixture)

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_leaving_upstream)
{
    store.put("servers", "u1",
              R"({"service":"app","address":"127.0.0.1:)" + std::to_string(upstream.port()) +
                  R"(","zone":"z","slots":6,"state":"draining","born":1})");
    BOOST_REQUIRE(run_until([&] {
        upstream.clear();
        return call("/look/x").status == 200 && upstream.seen().empty();
    }));
    other.clear();
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(call("/book/x").status == 200);
    }
    BOOST_TEST(upstream.seen().empty());
    BOOST_TEST(other.seen().size() == 6U);
}

BOOST_AUTO_TEST_CASE(serves_requests_during_a_store_outage_and_catches_up_afterwards)
{
    for (const auto weather : {routed_store::weather::busy, routed_store::weather::dropping}) {
        store.set_weather(weather);
        BOOST_TEST(call("/book/x").status == 200);
        store.erase("servers", "u1");
        store.forget_history();
        store.set_weather(routed_store::weather::fair);
        BOOST_TEST(run_until([&] {
            upstream.clear();
            call("/book/x");
            return upstream.seen().empty();
        }));
        store.put("servers", "u1",
                  R"({"service":"app","address":"127.0.0.1:)" + std::to_string(upstream.port()) +
                      R"(","zone":"z","slots":6,"state":"ready","born":1})");
        BOOST_TEST(run_until([&] {
            call("/book/x");
            return !upstream.seen().empty();
        }));
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
