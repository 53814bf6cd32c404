#include "request/attempt_registry.h"
#include "request/crash_suspects.h"
#include "request/engine_relay.h"
#include "request/entry_sessions.h"
#include "request/keyed_run_coordinator.h"
#include "request/slot_queue.h"

#include "request/core_parts_fixture.h"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

using namespace clementinegap;
using namespace clementinegap::part_tests;

BOOST_AUTO_TEST_SUITE(the_parts_of_an_upstream_core)

BOOST_AUTO_TEST_SUITE(the_attempt_registry)

BOOST_AUTO_TEST_CASE(stores_a_bounded_number_of_ended_attempts)
{
    attempt_registry registry(2);
    const auto attempt = registry.make();
    attempt->reservation.attempt = {1, 1};
    registry.add(attempt);
    BOOST_TEST(registry.find({1, 1}) == attempt);
    BOOST_TEST(registry.find_run(attempt->id) == attempt);
    registry.erase(*attempt, ran_state::unknown);
    BOOST_TEST(registry.find({1, 1}) == nullptr);
    BOOST_TEST(registry.empty());
    BOOST_TEST(registry.is_known({1, 1}));
    BOOST_TEST((registry.ended_state({1, 1}) == ran_state::unknown));
    registry.remember({1, 2}, ran_state::no);
    registry.remember({1, 3}, ran_state::no);
    BOOST_TEST(!registry.is_known({1, 1}));
    BOOST_TEST((registry.ended_state({1, 2}) == ran_state::no));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_slot_queue)

struct a_queue_of_one_slot {
    a_queue_of_one_slot() { context.now = start; }

    upstream_attempt_ptr queued(std::uint64_t number, std::uint8_t tier)
    {
        const auto attempt = attempt_of(number, tier);
        slots.push(attempt->work);
        return attempt;
    }
    void run(upstream_attempt& attempt)
    {
        slots.take_slot();
        attempt.phase = attempt_phase::running;
        slots.begin_slice(attempt);
    }

    upstream_context context{settings_of_upstream()};
    slot_queue slots{context};
};

BOOST_FIXTURE_TEST_CASE(gives_the_highest_tier_first, a_queue_of_one_slot)
{
    queued(1, 2);
    queued(2, 0);
    BOOST_TEST((slots.first_tier() == std::optional<std::uint8_t>(0)));
    BOOST_TEST(slots.next()->id == 2U);
    BOOST_TEST(slots.next()->id == 1U);
    BOOST_TEST(!slots.next());
}

BOOST_FIXTURE_TEST_CASE(preempts_a_lower_tier_and_resumes_it, a_queue_of_one_slot)
{
    const auto low = attempt_of(1, 2);
    run(*low);
    BOOST_TEST(!slots.has_free_slot());
    BOOST_TEST((slots.preemptible_run(0) == std::optional<run_id>(1)));
    slots.preempt(*low);
    BOOST_TEST(slots.has_free_slot());
    BOOST_TEST(slots.preempted_count() == 1U);
    BOOST_TEST(slots.queued() == 1U);
    BOOST_TEST(slots.next()->id == 1U);
    slots.resume(*low);
    BOOST_TEST(slots.busy() == 1U);
    BOOST_TEST(slots.preempted_count() == 0U);
    slots.release_place(*low);
    BOOST_TEST(slots.busy() == 0U);
}

BOOST_FIXTURE_TEST_CASE(displaces_the_least_urgent_work_when_it_is_full, a_queue_of_one_slot)
{
    context.settings.max_queue = 2;
    queued(1, 1);
    BOOST_TEST(slots.has_room());
    queued(2, 3);
    BOOST_TEST(!slots.has_room());
    BOOST_TEST((slots.displaced_by(attempt_of(3, 0)->work) == std::optional<run_id>(2)));
    BOOST_TEST(!slots.displaced_by(attempt_of(4, 4)->work));
}

BOOST_FIXTURE_TEST_CASE(grants_one_starvation_slot_at_a_time, a_queue_of_one_slot)
{
    context.settings.slots = 2;
    const auto first = queued(1, 3);
    BOOST_TEST(!slots.next_starving());
    context.now = start + seconds(31);
    const auto work = slots.next_starving();
    BOOST_REQUIRE(work.has_value());
    slots.start_starvation_slot(*first);
    BOOST_TEST(!slots.next_starving());
    BOOST_TEST_CONTEXT("also when the work ends before it has started")
    {
        slots.release_place(*first);
        const auto second = queued(2, 3);
        context.now += seconds(62);
        BOOST_TEST(slots.next_starving().has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_engine_relay)

struct a_run_at_the_engine {
    a_run_at_the_engine()
    {
        context.now = start;
        attempt->credit = 4;
        slots.take_slot();
        relay.start(*attempt);
    }

    upstream_context context{settings_of_upstream()};
    slot_queue slots{context};
    engine_relay relay{context, slots};
    upstream_attempt_ptr attempt{attempt_of(1)};
};

BOOST_FIXTURE_TEST_CASE(stops_reading_without_credit, a_run_at_the_engine)
{
    BOOST_TEST(all_of<engine_start>(context.actions).size() == 1U);
    relay.bytes_arrived(*attempt, {1, "1234", 1});
    BOOST_TEST(all_of<engine_pause_reading>(context.actions).size() == 1U);
    relay.add_credit(*attempt, 1);
    BOOST_TEST(all_of<engine_resume_reading>(context.actions).size() == 1U);
    BOOST_TEST(sent_to_entries<chunk_message>(context).front().offset == 0U);
    relay.bytes_arrived(*attempt, {1, "5", 1});
    BOOST_TEST(sent_to_entries<chunk_message>(context).back().offset == 4U);
}

BOOST_FIXTURE_TEST_CASE(reads_a_detached_run_to_its_end, a_run_at_the_engine)
{
    relay.bytes_arrived(*attempt, {1, "1234", 1});
    relay.detach(*attempt);
    BOOST_TEST(all_of<engine_resume_reading>(context.actions).size() == 1U);
    relay.bytes_arrived(*attempt, {1, "5678", 1});
    BOOST_TEST(sent_to_entries<chunk_message>(context).size() == 1U);
    BOOST_TEST(all_of<engine_pause_reading>(context.actions).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(keeps_the_response_of_a_keyed_run_up_to_a_bound, a_run_at_the_engine)
{
    attempt->reservation.never_repeat = true;
    attempt->reservation.key = "k";
    context.settings.max_kept_response = 6;
    relay.bytes_arrived(*attempt, {1, "1234", 1});
    BOOST_TEST(attempt->kept_response == "1234");
    relay.bytes_arrived(*attempt, {1, "5678", 1});
    BOOST_TEST(attempt->kept_response_dropped);
    BOOST_TEST(attempt->kept_response.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(keyed_requests)

struct a_claim : private attempt_owner {
    a_claim()
    {
        context.now = start;
        attempt = attempts.make();
        attempt->reservation = attempt_of(1)->reservation;
        attempt->reservation.never_repeat = true;
        attempt->reservation.key = "k";
        attempt->deadline_at = start + seconds(60);
        attempts.add(attempt);
        keyed.claim(attempt);
    }

    run_record claimed()
    {
        const auto actions = keyed.take_actions();
        return all_of<claim_run>(actions).at(0).record;
    }
    void refuse(const upstream_attempt_ptr& /*attempt*/, result_code code, duration /*retry_after*/) override
    {
        refused.push_back(code);
    }
    void finish(const upstream_attempt_ptr& /*attempt*/, result_code code, ran_state ran) override
    {
        finished.emplace_back(code, ran);
    }

    upstream_context context{settings_of_upstream()};
    attempt_registry attempts{8};
    keyed_run_coordinator keyed{context, attempts, *this};
    upstream_attempt_ptr attempt;
    std::vector<result_code> refused;
    std::vector<std::pair<result_code, ran_state>> finished;
};

BOOST_FIXTURE_TEST_CASE(start_only_once_the_record_is_their_own, a_claim)
{
    claimed();
    BOOST_TEST(keyed.next_to_start() == nullptr);
    keyed.on_result(claim_completed{attempt->reservation.attempt, store_result::done, {}});
    BOOST_TEST(keyed.next_to_start() == attempt);
    BOOST_TEST_CONTEXT("and not once they are abandoned")
    {
        keyed.abandon(attempt);
        BOOST_TEST(keyed.next_to_start() == nullptr);
    }
}

BOOST_FIXTURE_TEST_CASE(are_answered_from_the_record_of_another_run, a_claim)
{
    auto other = claimed();
    other.attempt = {2, 1};
    other.upstream = "u2";
    other.phase = run_phase::finished;
    other.code = result_code::ok;
    other.answer = stored_response{201, "application/json", "{}"};
    keyed.on_result(claim_completed{attempt->reservation.attempt, store_result::exists, other});
    BOOST_REQUIRE(finished.size() == 1U);
    BOOST_TEST((finished[0] == std::pair(result_code::ok, ran_state::yes)));
    BOOST_TEST(sent_to_entries<head_message>(context).at(0).status == 201);
    BOOST_TEST(sent_to_entries<chunk_message>(context).at(0).bytes == "{}");
}

BOOST_FIXTURE_TEST_CASE(are_refused_when_the_key_belongs_to_another_body, a_claim)
{
    auto other = claimed();
    other.attempt = {2, 1};
    other.upstream = "u2";
    other.fingerprint = "other";
    keyed.on_result(claim_completed{attempt->reservation.attempt, store_result::exists, other});
    BOOST_REQUIRE(finished.size() == 1U);
    BOOST_TEST((finished[0] == std::pair(result_code::key_reused, ran_state::unknown)));
}

BOOST_FIXTURE_TEST_CASE(wait_for_a_run_elsewhere_up_to_the_timeout, a_claim)
{
    auto other = claimed();
    other.attempt = {2, 1};
    other.upstream = "u2";
    keyed.on_result(claim_completed{attempt->reservation.attempt, store_result::exists, other});
    BOOST_TEST(finished.empty());
    context.now = start + context.settings.outcome_timeout;
    keyed.on_result(record_read{attempt->reservation.attempt, store_result::done, other});
    BOOST_REQUIRE(finished.size() == 1U);
    BOOST_TEST((finished[0] == std::pair(result_code::outcome_unknown, ran_state::unknown)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(entries_receive_load_changes_that_affect_placements)
{
    upstream_context context{settings_of_upstream()};
    context.now = start;
    entry_sessions sessions(context);
    load_message load;
    load.free_slots = 1;
    sessions.publish(load);
    BOOST_TEST(context.actions.empty());
    sessions.opened(7, load);
    BOOST_TEST(sent_to_entries<hello_message>(context).size() == 1U);
    BOOST_TEST(sent_to_entries<load_message>(context).size() == 1U);
    BOOST_TEST(all_of<publish_item>(context.actions).size() == 1U);
    BOOST_TEST_CONTEXT("a slot more or less does not matter, the last one does")
    {
        load.free_slots = 2;
        sessions.publish(load);
        BOOST_TEST(sent_to_entries<load_message>(context).size() == 1U);
        load.free_slots = 0;
        sessions.publish(load);
        BOOST_TEST(sent_to_entries<load_message>(context).size() == 2U);
    }
    BOOST_TEST_CONTEXT("a closed session receives nothing")
    {
        sessions.closed(7);
        load.leaving = true;
        sessions.publish(load);
        BOOST_TEST(sent_to_entries<load_message>(context).size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(suspects_of_a_crash_run_one_at_a_time)
{
    upstream_context context{settings_of_upstream()};
    context.now = start;
    attempt_registry attempts(8);
    crash_suspects suspects(context, attempts);
    std::vector<upstream_attempt_ptr> running;
    for (std::uint64_t number = 1; number <= 2; ++number) {
        auto attempt = attempts.make();
        attempt->reservation = attempt_of(number)->reservation;
        attempt->phase = attempt_phase::running;
        attempts.add(attempt);
        running.push_back(attempt);
    }
    BOOST_TEST(!suspects.must_wait(*running[0]));
    suspects.on_engine_crash();
    BOOST_TEST(all_of<publish_item>(context.actions).size() == 2U);
    BOOST_TEST_CONTEXT("a second broken run of the same crash adds no suspects")
    {
        suspects.on_engine_crash();
        BOOST_TEST(all_of<publish_item>(context.actions).size() == 2U);
    }
    running[0]->phase = attempt_phase::queued;
    BOOST_TEST(suspects.must_wait(*running[0]));
    suspects.defer(running[0]);
    running[1]->phase = attempt_phase::queued;
    BOOST_TEST(!suspects.must_wait(*running[0]));
    const auto deferred = suspects.take_deferred(running[1]);
    BOOST_REQUIRE(deferred.size() == 1U);
    BOOST_TEST(deferred[0] == running[0]);
    BOOST_TEST_CONTEXT("the second crash of one alone quarantines it")
    {
        running[0]->phase = attempt_phase::running;
        context.now += seconds(2);
        suspects.on_engine_crash();
        BOOST_TEST(suspects.is_quarantined("f1"));
        BOOST_TEST(!suspects.is_quarantined("f2"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
