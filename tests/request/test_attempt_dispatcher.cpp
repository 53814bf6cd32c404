#include "request/attempt_dispatcher.h"

#include "request/core_parts_fixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

using namespace clementinegap;
using namespace clementinegap::part_tests;

namespace {

constexpr std::array upstream_names{"u1", "u2", "u3", "u4", "u5", "u6"};

/// Six upstreams of one slot each; a slot search and an attempt dispatcher, without the rest of the core.
struct six_upstream_search : private slot_search_owner {
    six_upstream_search() : context(settings()), dispatcher(context, attempts, requests, search)
    {
        context.now = start;
        for (const auto* vm : upstream_names) {
            hello_message hello;
            hello.models = {"assistant"};
            hello.slots = 1;
            pools.on_hello(vm, hello);
        }
        requests.add(request);
        request->input.model = "assistant";
    }

    static entry_core_settings settings()
    {
        entry_core_settings values;
        values.placement_timeout = seconds(1);
        return values;
    }

    void report_no_free_slot()
    {
        for (const auto* vm : upstream_names) {
            pools.on_load(vm, load_message{});
        }
    }

    void advance_to(duration after)
    {
        context.now = start + after;
        context.timers.run_due(context.now);
    }

    void granted(const reservation& open) { dispatcher.on_second_grant(request, open.attempt, open.vm); }

    void on_direct_dispatch(const entry_request_ptr& taken, const reservation& slot) override
    {
        dispatcher.dispatch(taken, slot);
    }
    void on_no_slot(const entry_request_ptr& /*request*/, const failure_notice& notice) override
    {
        failures.push_back(notice);
    }
    bool may_try_another_upstream(const entry_request& asked) override
    {
        return dispatcher.may_try_another_upstream(asked);
    }

    entry_context context;
    upstream_pools pools;
    attempt_table attempts{1};
    request_table requests{8};
    slot_search search{context, pools, attempts, *this};
    attempt_dispatcher dispatcher;
    entry_request_ptr request{request_of(1)};
    std::vector<failure_notice> failures;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_slot_search)

BOOST_FIXTURE_TEST_CASE(dispatches_directly_to_an_upstream_with_a_free_slot, six_upstream_search)
{
    search.place(request);
    BOOST_TEST(sent_upstream<reserve_message>(context).size() == 1U);
    BOOST_TEST(sent_upstream<dispatch_message>(context).size() == 1U);
    BOOST_TEST(request->running.has_value());
    BOOST_TEST_CONTEXT("and tries another when it does not respond")
    {
        advance_to(seconds(1));
        BOOST_TEST(sent_upstream<reserve_message>(context).size() > 1U);
    }
}

BOOST_FIXTURE_TEST_CASE(does_not_dispatch_a_never_repeat_run_without_a_grant, six_upstream_search)
{
    request->rules.repeat = repeat_rule::never;
    search.place(request);
    BOOST_TEST(!request->reservations.empty());
    BOOST_TEST(sent_upstream<dispatch_message>(context).empty());
}

BOOST_FIXTURE_TEST_CASE(widens_while_none_grants_and_fails_when_all_refuse, six_upstream_search)
{
    report_no_free_slot();
    search.place(request);
    BOOST_REQUIRE(request->reservations.size() < upstream_names.size());
    advance_to(seconds(1));
    BOOST_REQUIRE(request->reservations.size() == upstream_names.size());
    request->last_refusal = result_code::overloaded;
    request->max_refusal_wait = seconds(2);
    for (const auto& open : std::vector(request->reservations)) {
        request->refused_by.insert(open.vm);
        search.drop(request, open.attempt);
    }
    BOOST_REQUIRE(failures.size() == 1U);
    BOOST_TEST((failures[0].code == result_code::overloaded));
    BOOST_TEST((failures[0].retry_after == seconds(2)));
    BOOST_TEST((failures[0].ran == ran_state::no));
}

BOOST_FIXTURE_TEST_CASE(waits_until_the_timeout_while_no_upstream_is_reachable, six_upstream_search)
{
    for (const auto* vm : upstream_names) {
        pools.disconnected(vm);
    }
    search.place(request);
    advance_to(milliseconds(900));
    BOOST_TEST(failures.empty());
    advance_to(milliseconds(1100));
    BOOST_REQUIRE(failures.size() == 1U);
    BOOST_TEST((failures[0].ran == ran_state::no));
}

BOOST_FIXTURE_TEST_CASE(withdraws_unneeded_reservations, six_upstream_search)
{
    report_no_free_slot();
    search.place(request);
    advance_to(seconds(1));
    const auto open = request->reservations;
    search.withdraw(*request, &open[0].attempt);
    BOOST_TEST(sent_upstream<cancel_message>(context).size() == open.size() - 1);
    BOOST_TEST(attempts.find(open[0].attempt) == request);
    BOOST_TEST(attempts.find(open[1].attempt) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(moves_and_hedges)

BOOST_FIXTURE_TEST_CASE(a_stream_moves_only_at_a_position_where_it_can_resume, six_upstream_search)
{
    search.place(request);
    request->head_sent = true;
    request->content_type = "text/event-stream";
    request->first_token_at = start;
    request->status = 200;
    request->at_event_boundary = false;
    BOOST_TEST(!dispatcher.may_move(*request));
    request->at_event_boundary = true;
    BOOST_TEST(dispatcher.may_move(*request));
    BOOST_TEST_CONTEXT("nor does a run that may not be repeated")
    {
        request->rules.repeat = repeat_rule::never;
        BOOST_TEST(!dispatcher.may_move(*request));
        request->rules.repeat = repeat_rule::repeatable;
    }
    const auto former = request->running->vm;
    dispatcher.move_streams_from(former);
    BOOST_REQUIRE(!request->reservations.empty());
    request->tokens = 5;
    granted(request->reservations.front());
    BOOST_TEST(request->running->vm != former);
    BOOST_TEST(request->moves == 1U);
    BOOST_TEST(request->dispatches == 1U);
    BOOST_TEST((request->ran == ran_state::yes));
    BOOST_TEST(sent_upstream<dispatch_message>(context).back().resume_from_token == 5U);
    BOOST_TEST(!sent_upstream<cancel_message>(context).empty());
}

BOOST_FIXTURE_TEST_CASE(a_grant_is_released_when_the_response_has_continued, six_upstream_search)
{
    search.place(request);
    dispatcher.move_streams_from(request->running->vm);
    const auto open = request->reservations.front();
    const auto running = request->running->attempt;
    request->first_token_at = start;
    granted(open);
    BOOST_TEST(request->runs_as(running));
    BOOST_TEST(attempts.find(open.attempt) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(the_first_token_decides_between_a_run_and_its_hedge, six_upstream_search)
{
    request->rules.repeat = repeat_rule::idempotent;
    search.place(request);
    const auto first = request->running->attempt;
    dispatcher.move_streams_from(request->running->vm);
    granted(request->reservations.front());
    BOOST_REQUIRE(request->hedge.has_value());
    const auto second = request->hedge->attempt;
    BOOST_TEST(request->runs_as(first));
    BOOST_TEST_CONTEXT("the hedge wins")
    {
        dispatcher.resolve_hedge(*request, second);
        BOOST_TEST(request->runs_as(second));
        BOOST_TEST(!request->hedge.has_value());
        BOOST_TEST(attempts.find(first) == nullptr);
        BOOST_TEST((request->ran == ran_state::unknown));
    }
}

BOOST_FIXTURE_TEST_CASE(retries_are_limited_by_their_number_and_their_budget, six_upstream_search)
{
    BOOST_TEST(dispatcher.may_retry(*request, ran_state::unknown));
    request->rules.repeat = repeat_rule::never;
    BOOST_TEST(!dispatcher.may_retry(*request, ran_state::unknown));
    BOOST_TEST(dispatcher.may_retry(*request, ran_state::no));
    request->dispatches = context.settings.max_dispatches;
    BOOST_TEST(!dispatcher.may_retry(*request, ran_state::no));
    int taken = 0;
    while (dispatcher.spend_retry_budget(*request)) {
        ++taken;
    }
    BOOST_TEST(taken == static_cast<int>(context.settings.budget_depth));
}

BOOST_FIXTURE_TEST_CASE(a_stalled_stream_is_moved_unless_its_caller_is_slow, six_upstream_search)
{
    search.place(request);
    request->running->started = true;
    request->head_sent = true;
    request->content_type = "text/event-stream";
    request->first_token_at = start;
    dispatcher.start_stall_checks();
    request->unconsumed = 1U << 20U;
    advance_to(seconds(3));
    BOOST_TEST(request->reservations.empty());
    request->unconsumed = 0;
    advance_to(seconds(6));
    BOOST_TEST(!request->reservations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
