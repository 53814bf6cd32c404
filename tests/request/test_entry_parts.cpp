#include "request/attempt_table.h"
#include "request/caller_responses.h"
#include "request/entry_admission.h"
#include "request/request_summary.h"
#include "request/request_table.h"
#include "request/upstream_pools.h"

#include "config/configuration_builder.h"
#include "core/digest.h"
#include "request/core_parts_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;
using namespace clementinegap::part_tests;

BOOST_AUTO_TEST_SUITE(the_parts_of_an_entry_core)

BOOST_AUTO_TEST_SUITE(the_attempt_table)

BOOST_AUTO_TEST_CASE(finds_open_attempts_by_number_and_by_upstream)
{
    attempt_table table(7);
    const auto request = request_of(1);
    const auto first = table.open(request, "u1");
    const auto second = table.open(request, "u2");
    BOOST_TEST(first.entry == 7U);
    BOOST_TEST((first < second));
    BOOST_TEST(table.find(first) == request);
    BOOST_TEST(table.at("u1").count(first) == 1U);
    BOOST_TEST(table.at("u1").count(second) == 0U);
    BOOST_TEST_CONTEXT("after one of them is closed")
    {
        table.close("u1", first);
        BOOST_TEST(table.find(first) == nullptr);
        BOOST_TEST(table.at("u1").empty());
        BOOST_TEST(table.find(second) == request);
    }
    BOOST_TEST_CONTEXT("closing it again changes nothing")
    {
        table.close("u1", first);
        BOOST_TEST(table.at("u2").size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(never_reuses_an_id)
{
    attempt_table table(7);
    const auto first = table.open(request_of(1), "u1");
    table.close("u1", first);
    BOOST_TEST((table.open(request_of(2), "u1") != first));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_request_table)

BOOST_AUTO_TEST_CASE(displaces_the_lowest_tier_first_and_within_it_the_last_to_arrive)
{
    request_table table(4);
    const auto high = request_of(1, 0);
    const auto low_early = request_of(2, 3);
    const auto low_late = request_of(3, 3);
    low_late->arrived += seconds(1);
    const auto lowest_at_work = request_of(4, 5);
    lowest_at_work->dispatches = 1;
    for (const auto& request : {high, low_early, low_late, lowest_at_work}) {
        table.add(request);
    }
    BOOST_TEST(table.full());
    BOOST_TEST(table.waiting_below(1) == low_late);
    BOOST_TEST(table.waiting_below(3) == nullptr);
    table.erase(3);
    BOOST_TEST(!table.full());
    BOOST_TEST(table.waiting_below(1) == low_early);
}

BOOST_AUTO_TEST_CASE(lists_requests_in_the_order_of_their_ids)
{
    request_table table(4);
    table.add(request_of(3));
    table.add(request_of(1));
    table.add(request_of(2, 4));
    const auto urgent = table.where([](const entry_request& request) { return request.rules.tier == 0; });
    BOOST_REQUIRE(urgent.size() == 2U);
    BOOST_TEST(urgent[0]->id == "r1");
    BOOST_TEST(urgent[1]->id == "r3");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_upstream_pools)

BOOST_AUTO_TEST_CASE(follow_the_reports_of_upstreams)
{
    upstream_pools pools;
    pools.connected("u1");
    BOOST_TEST(pools.serving("assistant").empty());
    hello_message hello;
    hello.models = {"assistant", "search"};
    hello.slots = 2;
    pools.on_hello("u1", hello);
    BOOST_REQUIRE(pools.serving("assistant").size() == 1U);
    BOOST_TEST(pools.takes_work(*pools.serving("assistant").front()));
    BOOST_TEST_CONTEXT("a new incarnation serves other models")
    {
        hello.models = {"assistant"};
        pools.on_hello("u1", hello);
        BOOST_TEST(pools.serving("assistant").size() == 1U);
        BOOST_TEST(pools.serving("search").empty());
    }
    BOOST_TEST_CONTEXT("a change of speed is reported once")
    {
        load_message load;
        load.slowed = true;
        BOOST_TEST((pools.on_load("u1", load) == upstream_pools::speed_change::slowed));
        BOOST_TEST((pools.on_load("u1", load) == upstream_pools::speed_change::none));
        load.slowed = false;
        BOOST_TEST((pools.on_load("u1", load) == upstream_pools::speed_change::recovered));
        BOOST_TEST((pools.on_load("unknown", load) == upstream_pools::speed_change::none));
    }
}

BOOST_AUTO_TEST_CASE(give_no_work_to_an_upstream_that_is_disconnected_or_leaving)
{
    upstream_pools pools;
    hello_message hello;
    hello.models = {"assistant"};
    pools.on_hello("u1", hello);
    const auto& view = *pools.serving("assistant").front();
    pools.set_leaving("u1", true);
    BOOST_TEST(!pools.takes_work(view));
    pools.set_leaving("u1", false);
    BOOST_TEST(pools.takes_work(view));
    BOOST_TEST(pools.disconnected("u1"));
    BOOST_TEST(!pools.disconnected("u1"));
    BOOST_TEST(!pools.takes_work(view));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(admission)

constexpr int burst = 8;

struct a_configured_entry {
    a_configured_entry()
    {
        workspace desk;
        desk.name = "desk";
        desk.key_sha256 = sha256_hex("key");
        desk.limits = {{"chat", 1, burst}};
        context.now = start;
        context.rules = std::make_shared<const configuration>(
            configuration_builder()
                .version(1)
                .add(class_builder("chat", "assistant").tier(1))
                .add(class_builder("booking", "assistant").never_repeat(true))
                .add(desk)
                .build()
                .value());
        admission.index_configuration();
        request.key_sha256 = sha256_hex("key");
        request.class_name = "chat";
        request.model = "assistant";
    }

    std::optional<result_code> refusal()
    {
        const auto notice = admission.refusal_of(request, {}, open_requests, draining);
        return notice ? std::optional(notice->code) : std::nullopt;
    }

    entry_context context{entry_core_settings{}};
    entry_admission admission{context};
    request_table open_requests{1};
    bool draining{false};
    caller_request request;
};

BOOST_FIXTURE_TEST_CASE(admits_a_known_caller, a_configured_entry)
{
    BOOST_TEST((refusal() == std::nullopt));
    const auto admitted =
        admission.admit(request, *admission.workspace_of(request.key_sha256), *admission.class_of(request));
    BOOST_TEST(admitted->workspace == "desk");
    BOOST_TEST(admitted->rules.name == "chat");
    BOOST_TEST((admitted->deadline_at == start + admitted->rules.deadline));
}

BOOST_FIXTURE_TEST_CASE(names_the_first_reason_to_refuse, a_configured_entry)
{
    BOOST_TEST_CONTEXT("a class that is not configured")
    {
        request.class_name = "dreams";
        BOOST_TEST((refusal() == result_code::unknown_class));
    }
    BOOST_TEST_CONTEXT("a booking without its key")
    {
        request.class_name = "booking";
        BOOST_TEST((refusal() == result_code::key_required));
    }
    BOOST_TEST_CONTEXT("a body that is not JSON")
    {
        request.malformed = true;
        BOOST_TEST((refusal() == result_code::malformed_body));
    }
    BOOST_TEST_CONTEXT("an unknown key")
    {
        request.key_sha256 = sha256_hex("other");
        BOOST_TEST((refusal() == result_code::unauthorized));
    }
    BOOST_TEST_CONTEXT("a daemon that is leaving")
    {
        draining = true;
        BOOST_TEST((refusal() == result_code::leaving));
    }
}

BOOST_FIXTURE_TEST_CASE(displaces_only_a_lower_tier_from_a_full_table, a_configured_entry)
{
    const auto waiting = request_of(1, 1);
    open_requests.add(waiting);
    BOOST_TEST((refusal() == result_code::table_full));
    waiting->rules.tier = 2;
    BOOST_TEST((refusal() == std::nullopt));
}

BOOST_FIXTURE_TEST_CASE(counts_the_requests_of_a_limited_class, a_configured_entry)
{
    const auto& owner = *admission.workspace_of(sha256_hex("key"));
    const auto& rules = *admission.class_of(request);
    for (int sent = 0; sent < burst; ++sent) {
        BOOST_TEST(!admission.charge_limits(owner, rules));
    }
    const auto notice = admission.charge_limits(owner, rules);
    BOOST_REQUIRE(notice.has_value());
    BOOST_TEST((notice->code == result_code::rate_limited));
    BOOST_TEST((notice->retry_after > duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(responses_to_callers)

struct response_in_progress {
    response_in_progress()
    {
        request->status = 200;
        request->running = running_attempt{"u1", {1, 1}};
    }
    std::size_t add_credit() const
    {
        std::size_t sum = 0;
        for (const auto& credit : sent_upstream<credit_message>(context)) {
            sum += credit.bytes;
        }
        return sum;
    }

    entry_context context{entry_core_settings{}};
    caller_responses responses{context};
    entry_request_ptr request{request_of(1)};
};

BOOST_FIXTURE_TEST_CASE(relay_a_stream_as_it_arrives, response_in_progress)
{
    request->content_type = "text/event-stream";
    responses.deliver(*request, "data: 1\n\n");
    BOOST_TEST(all_of<response_head>(context.actions).size() == 1U);
    BOOST_TEST(all_of<response_bytes>(context.actions).size() == 1U);
    BOOST_TEST(request->unconsumed == 9U);
    BOOST_TEST(request->at_event_boundary);
    BOOST_TEST_CONTEXT("credit follows what the caller consumes")
    {
        BOOST_TEST(add_credit() == 0U);
        responses.on_bytes_consumed(*request, 9);
        BOOST_TEST(add_credit() == 9U);
        BOOST_TEST(request->unconsumed == 0U);
    }
    BOOST_TEST_CONTEXT("the middle of an event is no position to resume from")
    {
        responses.deliver(*request, "data: 2");
        BOOST_TEST(!request->at_event_boundary);
    }
    BOOST_TEST_CONTEXT("nothing follows the end mark")
    {
        responses.deliver(*request, "\n\ndata: [DONE]\n\n");
        BOOST_TEST(!request->at_event_boundary);
    }
    BOOST_TEST_CONTEXT("a failure is an event of the stream")
    {
        responses.fail(*request, {result_code::upstream_lost, ran_state::yes, duration::zero(), ""});
        BOOST_TEST(all_of<response_end>(context.actions).size() == 1U);
        BOOST_TEST(all_of<response_abort>(context.actions).empty());
    }
}

BOOST_FIXTURE_TEST_CASE(buffer_other_responses_until_they_are_complete, response_in_progress)
{
    request->content_type = "application/json";
    responses.deliver(*request, "{\"a\":");
    responses.deliver(*request, "1}");
    BOOST_TEST(all_of<response_head>(context.actions).empty());
    BOOST_TEST(add_credit() == 7U);
    responses.complete(*request);
    const auto whole = all_of<full_response>(context.actions);
    BOOST_REQUIRE(whole.size() == 1U);
    BOOST_TEST(whole[0].body == "{\"a\":1}");
}

BOOST_FIXTURE_TEST_CASE(stop_buffering_past_the_bound, response_in_progress)
{
    context.settings.max_held_bytes = 4;
    request->content_type = "application/json";
    responses.deliver(*request, "1234");
    responses.deliver(*request, "5");
    BOOST_TEST(all_of<response_head>(context.actions).size() == 1U);
    BOOST_REQUIRE(all_of<response_bytes>(context.actions).size() == 2U);
    BOOST_TEST(all_of<response_bytes>(context.actions)[0].bytes == "1234");
    BOOST_TEST_CONTEXT("then only a closed connection reports a failure")
    {
        responses.fail(*request, {result_code::upstream_lost, ran_state::yes, duration::zero(), ""});
        BOOST_TEST(all_of<response_abort>(context.actions).size() == 1U);
    }
}

BOOST_FIXTURE_TEST_CASE(send_nothing_to_a_disconnected_caller, response_in_progress)
{
    request->caller_left = true;
    request->content_type = "text/event-stream";
    responses.deliver(*request, "data: 1\n\n");
    responses.complete(*request);
    responses.fail(*request, {});
    BOOST_TEST(add_credit() == 9U);
    BOOST_TEST(context.actions.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_summary_reports_what_the_caller_received)
{
    const auto request = request_of(1);
    request->first_token_at = start + milliseconds(500);
    request->first_dispatch_at = start + milliseconds(100);
    request->tokens = 12;
    const auto good = summary_of(*request, result_code::ok, ran_state::yes, start + seconds(2));
    BOOST_TEST(good.target_met);
    BOOST_TEST((good.queue_wait == milliseconds(100)));
    BOOST_TEST(good.wasted_tokens == 0U);
    const auto broken = summary_of(*request, result_code::upstream_lost, ran_state::yes, start + seconds(2));
    BOOST_TEST(!broken.target_met);
    BOOST_TEST(broken.wasted_tokens == 12U);
}

BOOST_AUTO_TEST_SUITE_END()
