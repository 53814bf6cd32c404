#include "cluster/order_core.h"
#include "fakes/manual_scheduler.h"
#include "leases/lease.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <random>

using namespace clementinegap;

namespace {

constexpr duration term = seconds(10);

/// One engine that ignores fencing numbers, its daemon and the lease's row, in manual time.
struct engine_site {
    manual_scheduler scheduler;
    std::optional<lease_row> row;
    bool outage{false};
    duration store_latency{milliseconds(5)};
    duration engine_latency{milliseconds(50)};
    bool engine_unresponsive{false};
    std::unique_ptr<order_core> core{std::make_unique<order_core>(order_settings{})};
    std::vector<engine_order> effects; ///< In the order in which the engine applied them.
    std::map<std::uint64_t, result_code> results;
    std::uint64_t highest_when_applied{0};
    int stale_effects{0};

    time_point now() const { return scheduler.now(); }

    void deliver(const order_event& event)
    {
        const auto span = core->on_event(event, now());
        const std::vector<order_action> actions(span.begin(), span.end());
        for (const auto& action : actions) {
            if (const auto* read = std::get_if<read_lease>(&action)) {
                on_read(*read);
            } else if (const auto* forward = std::get_if<forward_order>(&action)) {
                on_forward(*forward);
            } else if (const auto* result = std::get_if<order_result>(&action)) {
                results[result->id] = result->code;
            }
        }
        if (core->next_due() != never) {
            scheduler.after(core->next_due() - now(), [this] { deliver(tick{}); });
        }
    }

    void on_read(const read_lease& read)
    {
        auto found = outage ? std::nullopt : std::optional(row.value_or(lease_row{}));
        scheduler.after(store_latency, [this, step = read.step, found] { deliver(lease_read{step, found}); });
    }

    void on_forward(const forward_order& forward)
    {
        scheduler.after(engine_latency, [this, forward] {
            const auto current = row ? row->number : 0;
            stale_effects += forward.order.number < highest_when_applied ? 1 : 0;
            highest_when_applied = std::max(highest_when_applied, forward.order.number);
            stale_effects += forward.order.number > current ? 1 : 0;
            effects.push_back(forward.order);
            if (!engine_unresponsive) {
                deliver(engine_replied{forward.step, engine_replied::kind::applied});
            }
        });
    }

    void order(std::uint64_t id, std::uint64_t number)
    {
        deliver(order_received{{id, order_kind::load_model, "model-" + std::to_string(id), number}});
    }

    void run_for(duration span) { scheduler.run_until(now() + span); }

    /// Tries once to acquire the lease; returns whether the holder has it.
    bool acquire(lease& holder)
    {
        const auto wanted = holder.acquire(row, now());
        if (wanted) {
            row = wanted;
            holder.granted();
        }
        return wanted.has_value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_engines_orders, engine_site)

BOOST_AUTO_TEST_CASE(under_the_leases_number_are_applied_one_at_a_time_in_their_order)
{
    lease holder("a", term);
    BOOST_REQUIRE(acquire(holder));
    order(1, *holder.number(now()));
    order(2, *holder.number(now()));
    run_for(seconds(1));
    BOOST_REQUIRE(effects.size() == 2U);
    BOOST_TEST(effects[0].id == 1U);
    BOOST_TEST((results[2] == result_code::ok));
}

BOOST_AUTO_TEST_SUITE(of_a_holder_that_was_paused)

BOOST_AUTO_TEST_CASE(have_no_effect_after_another_has_the_lease_though_the_engine_ignores_numbers)
{
    lease paused("a", term);
    lease next("b", term);
    BOOST_REQUIRE(acquire(paused));
    const auto old_number = *paused.number(now());
    BOOST_TEST(!acquire(next));
    run_for(term + seconds(1));
    BOOST_TEST(!paused.number(now()).has_value());
    BOOST_REQUIRE(acquire(next));
    order(1, *next.number(now()));
    run_for(seconds(1));
    order(2, old_number);
    run_for(seconds(1));
    BOOST_TEST(effects.size() == 1U);
    BOOST_TEST((results[2] == result_code::stale_fencing_number));
}

BOOST_AUTO_TEST_CASE(have_no_effect_at_a_daemon_that_was_restarted_and_remembers_no_number)
{
    lease paused("a", term);
    lease next("b", term);
    acquire(paused);
    const auto old_number = *paused.number(now());
    run_for(term + seconds(1));
    acquire(next);
    core = std::make_unique<order_core>(order_settings{});
    order(1, old_number);
    run_for(seconds(1));
    BOOST_TEST(effects.empty());
    BOOST_TEST((results[1] == result_code::stale_fencing_number));
}

BOOST_AUTO_TEST_CASE(wait_in_the_queue_and_have_no_effect_when_the_lease_has_moved_meanwhile)
{
    lease first("a", term);
    lease next("b", term);
    acquire(first);
    engine_latency = seconds(11);
    order(1, *first.number(now()));
    order(2, *first.number(now()));
    run_for(term + milliseconds(500));
    acquire(next);
    run_for(seconds(30));
    BOOST_TEST(effects.size() == 1U);
    BOOST_TEST((results[2] == result_code::stale_fencing_number));
    BOOST_TEST(stale_effects == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_answers_are_lost)

BOOST_AUTO_TEST_CASE(the_lease_is_held_if_the_row_that_is_read_back_is_the_one_asked_for_and_not_otherwise)
{
    lease first("a", term);
    lease second("b", term);
    row = first.acquire(row, now());
    first.read_back(row);
    BOOST_TEST(first.number(now()).value() == 1U);
    // The second holder requests the lease while the first holds it, as a daemon with a wrong clock would.
    const auto wanted = second.acquire(row, now() + term);
    BOOST_REQUIRE(wanted.has_value());
    second.read_back(row);
    BOOST_TEST(!second.number(now()).has_value());
}

BOOST_AUTO_TEST_CASE(a_late_row_is_not_taken_for_the_result_of_a_later_read)
{
    lease first("a", term);
    lease next("b", term);
    acquire(first);
    const auto old_number = *first.number(now());
    store_latency = seconds(3);
    order(1, old_number);
    order(2, old_number);
    run_for(milliseconds(2500));
    BOOST_TEST((results[1] == result_code::store_unavailable));
    row = lease_row{"", old_number, 0};
    acquire(next);
    store_latency = milliseconds(5);
    run_for(seconds(10));
    BOOST_TEST(effects.empty());
}

BOOST_AUTO_TEST_CASE(of_the_engine_the_outcome_is_unknown_and_the_next_order_waits_until_it_cannot_cross)
{
    lease first("a", std::chrono::minutes(10));
    acquire(first);
    engine_unresponsive = true;
    order(1, *first.number(now()));
    order(2, *first.number(now()));
    run_for(seconds(64));
    BOOST_TEST((results[1] == result_code::outcome_unknown));
    BOOST_TEST(effects.size() == 1U);
    run_for(seconds(2));
    BOOST_TEST(effects.size() == 2U);
}

BOOST_AUTO_TEST_CASE(of_the_store_nothing_is_forwarded)
{
    lease first("a", term);
    acquire(first);
    outage = true;
    order(1, *first.number(now()));
    run_for(seconds(5));
    BOOST_TEST(effects.empty());
    BOOST_TEST((results[1] == result_code::store_unavailable));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(of_two_holders_with_pauses_and_outages_never_take_effect_under_an_old_number)
{
    std::mt19937_64 random(9);
    std::vector<lease> holders{{"a", seconds(2)}, {"b", seconds(2)}};
    std::map<std::size_t, std::uint64_t> remembered;
    for (std::uint64_t id = 1; id <= 3000; ++id) {
        const auto who = random() % 2;
        if (auto number = holders[who].number(now())) {
            remembered[who] = *number;
        } else if (!outage) {
            acquire(holders[who]);
        }
        // A holder that was paused uses the number that it remembers.
        if (remembered.contains(who)) {
            order(id, remembered[who]);
        }
        outage = random() % 20 == 0;
        store_latency = milliseconds(random() % 20 == 0 ? 1500 : 5);
        if (random() % 100 == 0) {
            core = std::make_unique<order_core>(order_settings{});
        }
        run_for(milliseconds(random() % 600));
    }
    BOOST_TEST(effects.size() > 100U);
    BOOST_TEST(stale_effects == 0);
}

BOOST_AUTO_TEST_SUITE_END()
