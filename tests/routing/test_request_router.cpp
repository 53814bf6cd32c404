#include "routing/router_fixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace clementinegap;
using clementinegap::testing::router_fixture;

BOOST_AUTO_TEST_SUITE(a_request_router)

BOOST_AUTO_TEST_SUITE(before_a_configuration)

BOOST_AUTO_TEST_CASE(answers_503_and_never_404_and_is_not_ready)
{
    request_router router({"entry-1", "z1", 1, {}});
    BOOST_TEST(!router.is_ready());
    request_arrived event;
    event.request = 1;
    event.host = "h";
    event.path = "/any/";
    const auto actions = router.on_event(event, testing::start);
    const auto* answer = std::get_if<respond_to_caller>(&actions.back());
    BOOST_REQUIRE(answer != nullptr);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->retry_after.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_a_deployment, router_fixture)

BOOST_AUTO_TEST_CASE(refuses_what_no_route_or_key_allows)
{
    BOOST_TEST(router.is_ready());
    arrive("/nowhere/");
    BOOST_TEST(one<respond_to_caller>()->status == 404);
    arrive("/look/x", std::nullopt, "no-such-key");
    BOOST_TEST(one<respond_to_caller>()->status == 401);
    arrive("/open/x", std::nullopt, "");
    BOOST_TEST(one<send_request>().has_value());
}

BOOST_AUTO_TEST_CASE(sends_with_the_workspace_and_the_time_that_is_left)
{
    arrive("/look/x", milliseconds(500));
    const auto send = one<send_request>();
    BOOST_REQUIRE(send.has_value());
    BOOST_TEST(send->workspace == "workspace-a");
    BOOST_TEST(to_milliseconds(send->time_left) == 500);
    // The route's timeout applies if the caller's deadline is later.
    arrive("/look/x", seconds(20));
    BOOST_TEST(to_milliseconds(one<send_request>()->time_left) == 800);
}

BOOST_AUTO_TEST_CASE(never_goes_back_to_an_older_configuration)
{
    give(configuration_received{table(7)});
    give(configuration_received{table(5)});
    BOOST_TEST(router.table()->version() == 7U);
}

BOOST_AUTO_TEST_CASE(sends_a_repeatable_request_elsewhere_when_its_response_is_lost)
{
    const auto request = arrive("/look/x");
    const auto first = sent_to();
    give(send_failed{request, send_fault::lost, false});
    BOOST_TEST(sent_to() != first);
    BOOST_TEST(sent_to() != "");
    // At most two upstreams are tried; then it is unknown whether the request ran.
    give(send_failed{request, send_fault::lost, false});
    BOOST_TEST(one<respond_to_caller>()->status == 502);
}

BOOST_AUTO_TEST_CASE(never_sends_a_booking_again_once_it_may_have_run)
{
    const auto request = arrive("/book/x");
    give(send_failed{request, send_fault::lost, false});
    BOOST_TEST(!one<send_request>().has_value());
    BOOST_TEST(one<respond_to_caller>()->status == 502);
}

BOOST_AUTO_TEST_CASE(reports_a_booking_as_not_run_only_when_certain)
{
    const auto refused = arrive("/book/x");
    give(send_failed{refused, send_fault::not_run, false});
    BOOST_TEST(one<respond_to_caller>()->status == 503);
    const auto broken = arrive("/book/x");
    give(send_failed{broken, send_fault::bad_answer, false});
    BOOST_TEST(one<respond_to_caller>()->status == 502);
    const auto expired = arrive("/book/x");
    pass(milliseconds(800));
    BOOST_TEST(one<respond_to_caller>()->request == expired);
    BOOST_TEST(one<respond_to_caller>()->status == 504);
    BOOST_TEST(one<stop_send>().has_value());
}

BOOST_AUTO_TEST_CASE(tries_another_upstream_when_one_cannot_be_reached)
{
    const auto request = arrive("/book/x");
    const auto first = sent_to();
    give(send_failed{request, send_fault::unreachable, false});
    BOOST_TEST(sent_to() != first);
    BOOST_TEST(sent_to() != "");
}

BOOST_AUTO_TEST_CASE(passes_on_a_failure_of_the_upstream_when_it_has_no_other_send)
{
    const auto request = arrive("/look/x");
    give(send_failed{request, send_fault::failed_answer, false});
    BOOST_TEST(one<send_request>().has_value());
    give(send_failed{request, send_fault::failed_answer, false});
    BOOST_TEST(one<pass_failure>().has_value());
}

BOOST_AUTO_TEST_CASE(resumes_a_stream_that_may_be_resumed_and_cuts_one_that_may_not)
{
    const auto ask = arrive_generation("/ask/x", 1, 500);
    const auto first = sent_to();
    give(first_event_seen{ask});
    give(send_failed{ask, send_fault::lost, true});
    BOOST_TEST(sent_to() != first);
    const auto guide = arrive_generation("/guide/x", 1, 500);
    give(first_event_seen{guide});
    give(send_failed{guide, send_fault::lost, true});
    BOOST_TEST(one<abort_caller>().has_value());
    BOOST_TEST(!one<send_request>().has_value());
}

BOOST_AUTO_TEST_CASE(moves_a_lookup_without_a_response_in_time_for_its_objective)
{
    arrive("/look/x");
    const auto first = sent_to();
    pass(milliseconds(200));
    BOOST_TEST(one<stop_send>().has_value());
    BOOST_TEST(sent_to() != first);
}

BOOST_AUTO_TEST_CASE(stops_the_upstream_when_the_caller_leaves)
{
    const auto request = arrive("/book/x");
    give(caller_left{request});
    BOOST_TEST(one<stop_send>().has_value());
    BOOST_TEST(router.open_requests() == 0U);
    BOOST_TEST(router.report(now).loads.empty());
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_leaving_or_missing_upstream)
{
    auto leaving = upstream("p1", "app");
    leaving.leaving = true;
    give(upstream_listed{leaving});
    for (int i = 0; i < 10; ++i) {
        arrive("/book/x");
        BOOST_TEST(sent_to() == "p2");
    }
    give(upstream_removed{"p2"});
    arrive("/book/x");
    BOOST_TEST(one<respond_to_caller>()->status == 503);
}

BOOST_AUTO_TEST_CASE(keeps_upstreams_that_expire_during_a_directory_outage_for_a_grace_period)
{
    give(directory_unreachable{});
    give(upstream_removed{"p1"});
    give(upstream_removed{"p2"});
    arrive("/book/x");
    BOOST_TEST(sent_to() != "");
    give(directory_reachable{});
    give(directory_listed{});
    arrive("/book/x");
    BOOST_TEST(sent_to() != "");
    pass(upstream_directory::restore_grace + milliseconds(300));
    arrive("/book/x");
    BOOST_TEST(sent_to() == "");
}

BOOST_AUTO_TEST_CASE(quarantines_a_request_that_crashes_one_upstream_after_the_other)
{
    request_arrived event;
    event.host = "h";
    event.path = "/book/poison";
    event.api_key = "key-a";
    event.body_hash = 77;
    int sends = 0;
    for (int attempt = 0; attempt < 6; ++attempt) {
        event.request = ++last;
        give(event);
        if (sent_to().empty()) {
            BOOST_TEST(one<respond_to_caller>()->status == 503);
            continue;
        }
        ++sends;
        const auto crashed = sent_to();
        give(send_failed{event.request, send_fault::lost, false});
        // The refused connection of another request shows that the process has ended; it restarts later.
        const auto other = arrive("/book/other");
        while (!sent_to().empty() && sent_to() != crashed) {
            give(send_failed{other, send_fault::not_run, false});
            arrive("/book/other");
        }
        if (sent_to() == crashed) {
            give(send_failed{last, send_fault::unreachable, false});
        }
        pass(seconds(2));
        auto again = upstream(crashed, "app");
        again.incarnation = 100 + attempt;
        give(upstream_listed{again});
        pass(milliseconds(300));
    }
    BOOST_TEST(sends <= 3);
}

BOOST_AUTO_TEST_CASE(refuses_requests_that_cannot_end_before_it_stops)
{
    give(drain_begun{now + seconds(7)});
    BOOST_TEST(!router.is_ready());
    arrive_generation("/guide/x", 1, 500);
    BOOST_TEST(sent_to() != "");
    pass(seconds(4));
    arrive_generation("/guide/x", 1, 500);
    BOOST_TEST(one<respond_to_caller>()->status == 503);
    arrive("/book/x");
    BOOST_TEST(sent_to() != "");
}

BOOST_AUTO_TEST_CASE(refuses_requests_without_a_time_limit_of_their_own_before_it_stops)
{
    auto unlimited = std::make_shared<route_table>(*table(2));
    route endless;
    endless.name = endless.prefix = "/endless/";
    endless.host = "h";
    endless.targets = {{"app", 1}};
    endless.timeout = duration::zero();
    unlimited->add_route(endless);
    give(configuration_received{unlimited});
    give(drain_begun{now + seconds(7)});
    arrive("/endless/x");
    BOOST_TEST(one<respond_to_caller>()->status == 503);
    arrive("/endless/x", milliseconds(500));
    BOOST_TEST(sent_to() != "");
}

BOOST_AUTO_TEST_CASE(refuses_streams_that_usually_last_longer_than_it_has_before_it_stops)
{
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const auto request = arrive_generation("/guide/x", i, 500);
        pass(milliseconds(50));
        give(first_event_seen{request});
        pass(milliseconds(5000));
        give(request_completed{request, false});
    }
    give(drain_begun{now + seconds(7)});
    pass(seconds(2));
    arrive_generation("/guide/x", 1, 500);
    BOOST_TEST(one<respond_to_caller>()->status == 503);
    // A caller that waits no longer than the daemon runs gets its answer or its time limit.
    request_arrived event;
    event.request = ++last;
    event.id = "short";
    event.host = "h";
    event.path = "/guide/x";
    event.api_key = "key-a";
    event.deadline = milliseconds(4000);
    event.prompt.tokens_in = 1000;
    event.prompt.tokens_out_limit = 10;
    give(event);
    BOOST_TEST(sent_to() != "");
}

BOOST_AUTO_TEST_CASE(sends_no_more_extra_requests_than_the_budget_allows)
{
    int extra = 0;
    for (int i = 0; i < 300; ++i) {
        const auto request = arrive("/look/x");
        give(send_failed{request, send_fault::lost, false});
        extra += one<send_request>().has_value() ? 1 : 0;
        if (one<send_request>()) {
            give(send_failed{request, send_fault::lost, false});
        }
        pass(milliseconds(10));
    }
    BOOST_TEST(extra <= static_cast<int>(0.2 * 300 + 56));
    BOOST_TEST(extra > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_places_generations, router_fixture)

BOOST_AUTO_TEST_CASE(keeps_a_session_on_its_engine)
{
    const auto first = arrive_generation("/draft/x", 42, 1000);
    const auto owner = sent_to();
    give(first_event_seen{first});
    give(request_completed{first, false});
    for (int i = 0; i < 5; ++i) {
        const auto request = arrive_generation("/draft/x", 42, 1000);
        BOOST_TEST(sent_to() == owner);
        give(first_event_seen{request});
        give(request_completed{request, false});
    }
}

BOOST_AUTO_TEST_CASE(updates_the_partitions_once_for_a_full_listing)
{
    directory_listed listing;
    for (int i = 0; i < 500; ++i) {
        listing.records.push_back(upstream("n" + std::to_string(i), "llm"));
    }
    arrive_generation("/draft/x", 41, 1000);
    const auto before = router.partition_updates();
    give(listing);
    for (int i = 0; i < 500; ++i) {
        auto record = upstream("n" + std::to_string(i), "llm");
        record.incarnation = 2;
        give(upstream_listed{record});
    }
    arrive_generation("/draft/x", 42, 1000);
    BOOST_TEST(router.partition_updates() == before + 1);
    BOOST_TEST(sent_to().starts_with("n"));
}

BOOST_AUTO_TEST_CASE(lets_a_session_use_its_own_engines_before_any_other)
{
    std::set<std::string> used;
    for (int i = 0; i < 12; ++i) {
        arrive_generation("/draft/x", 42, 2000);
        used.insert(sent_to());
    }
    BOOST_TEST(used.size() == prompt_affinity{}.session_engines);
}

BOOST_AUTO_TEST_CASE(distributes_generations_without_a_shared_prompt)
{
    std::set<std::string> used;
    for (int i = 0; i < 12; ++i) {
        request_arrived event;
        event.request = ++last;
        event.host = "h";
        event.path = "/draft/x";
        event.api_key = "key-a";
        event.prompt.tokens_in = 2000;
        event.prompt.tokens_out_limit = 20;
        give(event);
        used.insert(sent_to());
    }
    BOOST_TEST(used.size() > 2U);
}

BOOST_AUTO_TEST_CASE(leaves_a_loaded_owner_for_an_idle_engine)
{
    arrive_generation("/draft/x", 42, 40000);
    const auto owner = sent_to();
    arrive_generation("/draft/x", 42, 1000);
    BOOST_TEST(sent_to() != owner);
}

BOOST_AUTO_TEST_CASE(keeps_long_prompts_away_from_streams_with_short_gaps)
{
    // Enough requests of both kinds that each gets its own engines.
    std::set<std::string> for_guides;
    std::set<std::string> for_drafts;
    for (std::uint64_t i = 0; i < 40; ++i) {
        const auto guide = arrive_generation("/guide/x", i, 300, 50);
        if (i > 10) {
            for_guides.insert(sent_to());
        }
        give(first_event_seen{guide});
        const auto draft = arrive_generation("/draft/x", 100 + i, 4000, 500);
        if (i > 10) {
            for_drafts.insert(sent_to());
        }
        give(first_event_seen{draft});
        give(request_completed{draft, false});
        give(request_completed{guide, false});
        pass(milliseconds(100));
    }
    for (const auto& each : for_guides) {
        BOOST_TEST(!for_drafts.contains(each));
    }
}

BOOST_AUTO_TEST_CASE(reads_short_prompts_first_within_a_class_and_never_before_a_more_urgent_class)
{
    arrive_generation("/draft/x", 1, 1000);
    const auto small = one<send_request>()->urgency;
    arrive_generation("/draft/x", 2, 20000);
    BOOST_TEST(one<send_request>()->urgency > small);
}

BOOST_AUTO_TEST_CASE(refuses_generations_that_cannot_end_in_time)
{
    request_arrived event;
    event.host = "h";
    event.path = "/draft/x";
    event.api_key = "key-a";
    event.deadline = milliseconds(900);
    event.prompt.tokens_in = 30000;
    event.prompt.tokens_out_limit = 50;
    event.prompt.parts = {{1, 100}, {2, 29900}};
    event.request = ++last;
    give(event);
    BOOST_TEST(sent_to().empty());
    BOOST_REQUIRE(one<respond_to_caller>().has_value());
    BOOST_TEST(one<respond_to_caller>()->status == 503);
    BOOST_TEST(one<respond_to_caller>()->retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(refuses_with_the_time_until_there_is_capacity)
{
    load_reported load_event;
    load_event.report = {"entry-2", 1, 1, 1, {}, {}, {}};
    load_event.report.speeds = {{"llm", {30, milliseconds(7), 1000}}};
    for (int engine = 1; engine <= 12; ++engine) {
        // Every engine has four seconds of prefill queued.
        load_event.report.loads.emplace_back("e" + std::to_string(engine), upstream_load{4, 0, 120000});
    }
    give(load_event);
    arrive_generation("/ask/x", 1, 60000);
    BOOST_REQUIRE(one<respond_to_caller>().has_value());
    BOOST_TEST(one<respond_to_caller>()->status == 503);
    BOOST_TEST((*one<respond_to_caller>()->retry_after >= seconds(3)));
}

BOOST_AUTO_TEST_CASE(counts_the_work_that_other_daemons_report)
{
    const auto idle = arrive_generation("/draft/x", 42, 1000);
    const auto owner = sent_to();
    give(request_completed{idle, false});
    load_reported load_event;
    load_event.report = {"entry-2", 1, 1, 1, {{owner, upstream_load{9, 0, 90000}}}, {}, {}};
    give(load_event);
    arrive_generation("/draft/x", 42, 1000);
    BOOST_TEST(sent_to() != owner);
    // A report that is not renewed expires, since its daemon may have stopped.
    pass(load_tracker::report_lifetime + milliseconds(300));
    arrive_generation("/draft/x", 42, 1000);
    BOOST_TEST(sent_to() == owner);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
