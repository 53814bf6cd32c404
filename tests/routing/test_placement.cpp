#include "routing/generation_placement.h"
#include "routing/router_fixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

constexpr double fast_link = 200;

upstream_ptr engine(const std::string& id)
{
    return std::make_shared<const upstream_record>(router_fixture::upstream(id, "llm"));
}

prompt_info prompt_of(std::uint64_t session, std::uint32_t own_tokens = 500)
{
    prompt_info prompt;
    prompt.parts = {{1, 2000}, {session, 3000}, {99, own_tokens}};
    prompt.tokens_in = 5000 + own_tokens;
    return prompt;
}

/// Two engines with their estimated state, and a choice between them.
struct two_engines {
    choice_view view(bool short_gap = false) const
    {
        return {load, health, caches, "z1", excluded, now, short_gap};
    }
    upstream_choice choose(const part_source& source = {}) const
    {
        return choose_engine(engines, prompt, view(), weights, source);
    }
    upstream_ptr other_than(const upstream_ptr& one) const
    {
        return one == engines[0] ? engines[1] : engines[0];
    }

    load_tracker load;
    upstream_health health;
    prompt_cache_view caches;
    std::vector<std::string> excluded;
    std::vector<upstream_ptr> engines{engine("e1"), engine("e2")};
    prompt_info prompt{prompt_of(42)};
    prompt_affinity weights;
    time_point now{start};
};

} // namespace

BOOST_AUTO_TEST_SUITE(placement_of_generations)

BOOST_AUTO_TEST_SUITE(the_holders_of_prompt_parts)

BOOST_AUTO_TEST_CASE(are_those_with_the_longest_cached_prefix)
{
    prompt_cache_view caches;
    const auto prompt = prompt_of(42);
    const auto later = start + seconds(1);
    BOOST_TEST(caches.holders(prompt, later).empty());
    caches.placed({"e1", 1, 2000}, start);
    BOOST_TEST((caches.holders(prompt, later) == std::vector<std::string>{"e1"}));
    caches.placed({"e2", 1, 2000}, start);
    caches.placed({"e2", 42, 3000}, start);
    BOOST_TEST((caches.holders(prompt, later) == std::vector<std::string>{"e2"}));
    BOOST_TEST_CONTEXT("a session without the preceding parts is not usable")
    {
        caches.placed({"e3", 42, 3000}, start);
        BOOST_TEST((caches.holders(prompt, later) == std::vector<std::string>{"e2"}));
    }
    BOOST_TEST_CONTEXT("an ended process has an empty cache")
    {
        caches.forget("e2");
        BOOST_TEST((caches.holders(prompt, later) == std::vector<std::string>{"e1"}));
    }
}

BOOST_AUTO_TEST_CASE(must_have_had_the_time_to_read_them)
{
    prompt_cache_view caches;
    const auto prompt = prompt_of(42);
    caches.placed({"e1", 1, 2000, milliseconds(300)}, start);
    caches.placed({"e1", 42, 3000, milliseconds(300)}, start);
    BOOST_TEST(caches.holders(prompt, start + milliseconds(50)).empty());
    BOOST_TEST(caches.holders(prompt, start + milliseconds(500)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_a_busy_engine_are_those_whose_stream_has_begun)
{
    prompt_cache_view caches;
    const auto prompt = prompt_of(42);
    caches.placed({"e1", 1, 2000, seconds(3)}, start);
    caches.placed({"e1", 42, 3000, seconds(3)}, start);
    BOOST_TEST(caches.holders(prompt, start + seconds(1)).empty());
    BOOST_TEST_CONTEXT("the prompt is not read on another engine meanwhile")
    {
        BOOST_TEST(caches.missing_tokens("e1", prompt, start + seconds(1)) == 0U);
    }
    caches.was_read("e1", prompt.shared_parts(), start + seconds(1));
    BOOST_TEST(caches.holders(prompt, start + seconds(1)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_a_refused_request_are_only_parts_read_before)
{
    prompt_cache_view caches;
    const auto prompt = prompt_of(42);
    caches.placed({"e1", 1, 2000}, start);
    caches.placed({"e1", 42, 3000, seconds(1)}, start);
    caches.forget_unread("e1", prompt.shared_parts(), start + milliseconds(10));
    BOOST_TEST(caches.missing_tokens("e1", prompt, start + milliseconds(20)) == 3000U);
}

// With a constant part of the memory for shared parts, engines were believed to hold sessions that the
// requests since had pushed out, and read them again instead of copying them.
BOOST_AUTO_TEST_CASE(lose_parts_to_what_requests_use_alone)
{
    prompt_cache_view caches;
    caches.set_capacity(10000);
    const auto prompt = prompt_of(42);
    caches.placed({"e1", 1, 2000}, start);
    caches.placed({"e1", 42, 3000}, start);
    caches.used({"e1", 4000}, start + seconds(1));
    BOOST_TEST(caches.missing_tokens("e1", prompt, start + seconds(1)) == 0U);
    BOOST_TEST_CONTEXT("the least recently used part first")
    {
        caches.placed({"e1", 42, 3000}, start + seconds(2));
        caches.used({"e1", 1500}, start + seconds(2));
        BOOST_TEST(caches.missing_tokens("e1", prompt, start + seconds(2)) == 5000U);
        caches.placed({"e1", 1, 2000}, start + seconds(3));
        BOOST_TEST(caches.missing_tokens("e1", prompt, start + seconds(3)) == 0U);
    }
    BOOST_TEST_CONTEXT("a part whose id is zero is a part like any other")
    {
        caches.placed({"e2", 0, 100}, start);
        caches.used({"e2", 9950}, start + seconds(1));
        caches.used({"e2", UINT32_MAX}, start + seconds(2));
        caches.placed({"e2", 0, 100}, start + seconds(3));
        prompt_info first_part;
        first_part.parts = {{0, 100}, {99, 10}};
        BOOST_TEST(caches.missing_tokens("e2", first_part, start + seconds(3)) == 0U);
        caches.forget("e2");
    }
    BOOST_TEST_CONTEXT("the tokens of requests are evicted in their turn, too")
    {
        for (int second = 4; second < 10; ++second) {
            const auto now = start + seconds(second);
            caches.placed({"e1", 1, 2000}, now);
            caches.placed({"e1", 42, 3000}, now);
            caches.used({"e1", 4000}, now);
            BOOST_TEST(caches.missing_tokens("e1", prompt, now) == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(expire_with_evicted_parts_and_idle_engines)
{
    prompt_cache_view caches;
    caches.set_capacity(5000);
    const auto prompt = prompt_of(42);
    caches.placed({"e1", 1, 2000}, start);
    caches.placed({"e1", 42, 3000}, start);
    caches.placed({"e1", 43, 3000}, start);
    BOOST_TEST(caches.holders(prompt, start + seconds(1)).empty());
    caches.expire(start + seconds(100));
    caches.placed({"e2", 1, 2000}, start + seconds(100));
    BOOST_TEST((caches.holders(prompt, start + seconds(101)) == std::vector<std::string>{"e2"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_choice_of_an_engine)

// Guards against sessions that leave a busy engine for one that reads their prompt beside many others, and
// against idle engines that stay idle.
BOOST_FIXTURE_TEST_CASE(weighs_the_wait_at_the_holder_against_reading_elsewhere, two_engines)
{
    const auto holder = choose().upstream;
    const auto other = other_than(holder);
    for (const auto& part : prompt.shared_parts()) {
        caches.placed({holder->id, part.id, part.tokens}, start);
    }
    now = start + seconds(1);
    load.add(holder->id, 10000, false); // 250 ms of reading.
    BOOST_TEST(choose().upstream == holder);
    load.add(holder->id, 20000, false); // 750 ms together.
    BOOST_TEST(choose().upstream == other);

    BOOST_TEST_CONTEXT("a busy engine does not read what the holder has")
    {
        for (int request = 0; request < 20; ++request) {
            load.add(other->id, 0, false);
        }
        BOOST_TEST(choose().upstream == holder);
    }
    BOOST_TEST_CONTEXT("a copy delays nobody there")
    {
        const auto choice = choose({holder, 0, fast_link});
        BOOST_TEST(choice.upstream == other);
        BOOST_TEST(choice.copy_from == holder);
    }
}

BOOST_FIXTURE_TEST_CASE(copies_cached_parts_when_that_is_cheaper, two_engines)
{
    const auto owner = choose().upstream;
    const auto other = other_than(owner);
    caches.placed({owner->id, 1, 2000}, start);
    caches.placed({owner->id, 42, 3000}, start);
    load.add(owner->id, 60000, false);
    BOOST_TEST_CONTEXT("without a link it reads all parts again")
    {
        const auto choice = choose();
        BOOST_TEST(choice.upstream == other);
        BOOST_TEST(choice.copy_from == nullptr);
        BOOST_TEST(choice.reread_tokens == 3000U);
    }
    BOOST_TEST_CONTEXT("with one it reads only its own part")
    {
        const auto choice = choose({owner, 0, fast_link});
        BOOST_TEST(choice.upstream == other);
        BOOST_TEST(choice.copy_from == owner);
        BOOST_TEST(choice.prefill_tokens == 500U);
        BOOST_TEST(choice.reread_tokens == 0U);
    }
    BOOST_TEST_CONTEXT("from another zone it takes twice as long")
    {
        auto far = *owner;
        far.zone = "z2";
        const auto source = std::make_shared<const upstream_record>(far);
        const double just_enough = 14; // 3 times its prefill; the weight of the copy itself is left out.
        BOOST_TEST(choose({owner, 0, just_enough}).copy_from == owner);
        BOOST_TEST(choose({source, 0, just_enough}).copy_from == nullptr);
    }
    BOOST_TEST_CONTEXT("a copy over a slow link is not cheaper than reading")
    {
        BOOST_TEST(choose({owner, 0, 1}).copy_from == nullptr);
    }
}

BOOST_FIXTURE_TEST_CASE(never_copies_from_the_engine_itself, two_engines)
{
    const auto owner = choose().upstream;
    BOOST_TEST(choose({owner, 0, fast_link}).copy_from == nullptr);
}

BOOST_FIXTURE_TEST_CASE(reads_what_the_source_lacks_too, two_engines)
{
    const auto owner = choose().upstream;
    const auto other = other_than(owner);
    load.add(owner->id, 60000, false);
    const auto choice = choose({owner, 3000, fast_link});
    BOOST_TEST(choice.upstream == other);
    BOOST_TEST(choice.copy_from == owner);
    BOOST_TEST(choice.prefill_tokens == 3500U);
}

BOOST_FIXTURE_TEST_CASE(keeps_long_prompts_from_engines_where_streams_with_short_gaps_run, two_engines)
{
    prompt.parts.back().tokens = 8000;
    const auto owner = choose().upstream;
    for (int i = 0; i < 20; ++i) {
        load.add(owner->id, 0, true);
    }
    BOOST_TEST(choose().upstream == other_than(owner));
    BOOST_TEST_CONTEXT("but not the streams with short gaps themselves")
    {
        const auto choice = choose_engine(engines, prompt, view(true), weights);
        BOOST_TEST(choice.upstream == owner);
    }
    BOOST_TEST_CONTEXT("nor once they have ended")
    {
        for (int i = 0; i < 20; ++i) {
            load.remove(owner->id, 0, true);
        }
        BOOST_TEST(choose().upstream == owner);
    }
}

BOOST_FIXTURE_TEST_CASE(of_the_baseline_is_the_engine_with_the_fewest_in_flight, two_engines)
{
    load.add("e1", 0, false);
    BOOST_TEST(choose_least_in_flight(engines, prompt, view()).upstream == engines[1]);
    for (std::uint32_t i = 0; i < engines[0]->slots; ++i) {
        load.add("e1", 0, false);
        load.add("e2", 0, false);
    }
    BOOST_TEST(choose_least_in_flight(engines, prompt, view()).upstream == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(in_a_router, router_fixture)

BOOST_AUTO_TEST_CASE(unread_parts_are_not_copied)
{
    give(configuration_received{table(2, fast_link)});
    // The owner has a cold cache and its prefill takes seconds, while the session is requested repeatedly.
    arrive_generation("/draft/x", 42, 60000);
    const auto owner = sent_to();
    for (int i = 0; i < 6; ++i) {
        pass(milliseconds(300));
        arrive_generation("/draft/x", 42, 60000);
        for (const auto& send : all<send_request>()) {
            BOOST_TEST(send.copy_from == nullptr);
        }
    }
}

BOOST_AUTO_TEST_CASE(prefill_of_a_cold_owner_does_not_move_its_session)
{
    // The session is read once for a peak of its requests, so all of them go to the engine that reads it.
    arrive_generation("/draft/x", 42, 1000, 30000);
    const auto owner = sent_to();
    BOOST_TEST(router.loads().at(owner).prefill_tokens == 1000U);
    for (int i = 0; i < 4; ++i) {
        pass(milliseconds(50));
        arrive_generation("/draft/x", 42, 1000, 30000);
        BOOST_TEST(sent_to() == owner);
    }
    BOOST_TEST_CONTEXT("each until its first event")
    {
        give(first_event_seen{last});
        BOOST_TEST(router.loads().at(owner).prefill_tokens == 4000U);
    }
}

BOOST_AUTO_TEST_CASE(parts_are_copied_from_a_loaded_owner_to_the_next_engine)
{
    give(configuration_received{table(2, fast_link)});
    const auto first = arrive_generation("/draft/x", 42, 1000);
    const auto owner = sent_to();
    give(first_event_seen{first});
    pass(milliseconds(500));
    arrive_generation("/draft/x", 42, 40000);
    arrive_generation("/draft/x", 42, 40000);
    const auto send = one<send_request>();
    BOOST_REQUIRE(send.has_value());
    BOOST_TEST(send->upstream->id != owner);
    BOOST_REQUIRE(send->copy_from != nullptr);
    BOOST_TEST(send->copy_from->id == owner);
}

BOOST_AUTO_TEST_CASE(parts_are_not_copied_from_a_removed_engine)
{
    give(configuration_received{table(2, fast_link)});
    const auto first = arrive_generation("/draft/x", 42, 1000);
    const auto owner = sent_to();
    give(first_event_seen{first});
    pass(milliseconds(500));
    give(upstream_removed{owner});
    arrive_generation("/draft/x", 42, 1000);
    const auto send = one<send_request>();
    BOOST_REQUIRE(send.has_value());
    BOOST_TEST(send->copy_from == nullptr);
}

BOOST_AUTO_TEST_CASE(the_baseline_refuses_when_all_engines_are_full)
{
    router_settings settings;
    settings.daemon = "entry-2";
    settings.placement = least_in_flight{};
    request_router baseline(settings);
    baseline.on_event(configuration_received{table(1)}, now);
    directory_listed listing;
    auto only = upstream("e1", "llm");
    only.slots = 1;
    listing.records = {only, upstream("e2", "llm")};
    listing.records[1].slots = 1;
    baseline.on_event(listing, now);
    int refused = 0;
    for (request_number number = 1; number <= 3; ++number) {
        request_arrived event;
        event.request = number;
        event.host = "h";
        event.path = "/draft/x";
        event.api_key = "key-a";
        event.prompt = prompt_of(42);
        for (const auto& action : baseline.on_event(event, now)) {
            refused += std::holds_alternative<respond_to_caller>(action) ? 1 : 0;
        }
    }
    BOOST_TEST(refused == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_zones_of_engines)

BOOST_FIXTURE_TEST_CASE(decide_between_engines_that_are_about_as_good, two_engines)
{
    const auto far = std::make_shared<const upstream_record>(router_fixture::upstream("e3", "llm", "z2"));
    engines = {far, engines[0]};
    for (std::uint64_t session = 0; session < 20; ++session) {
        prompt = prompt_of(session);
        for (const auto* holder : {"e1", "e3"}) {
            caches.placed({holder, 1, 2000, {}}, now);
            caches.placed({holder, session, 3000, {}}, now);
        }
        BOOST_TEST(choose().upstream->id == "e1");
    }
    BOOST_TEST_CONTEXT("but not at the cost of a long wait")
    {
        load.add("e1", 5000, false);
        BOOST_TEST(choose().upstream->id == "e3");
    }
}

BOOST_FIXTURE_TEST_CASE(keep_requests_of_a_peak_in_their_zone_while_there_is_capacity, two_engines)
{
    // Forty requests of one session, from callers in the zone of e1; both engines hold its shared parts.
    const auto far = std::make_shared<const upstream_record>(router_fixture::upstream("e3", "llm", "z2"));
    engines = {engines[0], far};
    for (const auto* holder : {"e1", "e3"}) {
        caches.placed({holder, 1, 2000, {}}, now);
        caches.placed({holder, 42, 3000, {}}, now);
    }
    std::map<std::string, int> sent;
    for (int i = 0; i < 40; ++i) {
        const auto choice = choose();
        ++sent[choice.upstream->id];
        load.add(choice.upstream->id, choice.prefill_tokens, false);
    }
    BOOST_TEST(sent["e1"] >= sent["e3"]);
    BOOST_TEST_CONTEXT("without capacity the load is shared, with similar waits on both engines")
    {
        const auto longest = view().speed.prefill_time(load.at("e1").prefill_tokens);
        const auto shortest = view().speed.prefill_time(load.at("e3").prefill_tokens);
        BOOST_TEST((longest - shortest < milliseconds(50)));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
