#include "simulation/simulated_fleet.h"
#include "simulation/simulation_report.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace clementinegap;

namespace {

constexpr time_point start{seconds(10)};

engine_run run_of(std::uint64_t id, std::uint32_t own_tokens, std::uint32_t output, std::uint8_t urgency = 0)
{
    return {id, urgency, {{1, 1000}, {1000 + id, own_tokens}}, output};
}

/// Steps an engine to its rest; the times of the completions by run.
std::map<std::uint64_t, time_point> play(engine_model& engine)
{
    std::map<std::uint64_t, time_point> ends;
    while (engine.next_due() != never) {
        const auto now = engine.next_due();
        for (const auto& news : engine.advance(now)) {
            if (news.what == engine_news::kind::completed) {
                ends[news.run] = now;
            }
        }
    }
    return ends;
}

std::string plan_text(const std::string& rate)
{
    return R"({
        "name": "small", "seed": 7, "run_s": 5, "zones": 2, "routers": 2, "engines": 3, // a comment
        "engine": {"slots": 8, "memory_tokens": 50000},
        "kinds": [
            {"name": "draft", "requests_per_second": )" +
           rate + R"(, "priority": 1, "objective_ms": 2000, "max_gap_ms": 1000,
             "deadline_ms": 6000, "levels": [{"parts": 2, "tokens": {"mean": 500}}, {"parts": 6, "tokens": {"mean": 700}}],
             "prompt_tokens": {"mean": 900, "sigma": 0.5, "most": 4000}, "events": {"mean": 5, "most": 20}},
            {"name": "guide", "requests_per_second": 4, "objective_ms": 400, "max_gap_ms": 250, "deadline_ms": 8000,
             "resumable": true, "prompt_tokens": {"mean": 200}, "events": {"mean": 20, "most": 40}}],
        "outages": [{"at_ms": 2000, "lasts_ms": 1000, "engines": 1}]
    })";
}

simulation_plan plan_with_rate(const std::string& rate)
{
    return simulation_plan_from_text(plan_text(rate)).value();
}

/// Half of four engines are down for most of the time, and the most urgent kind of request comes in a crowd.
simulation_plan plan_of_a_burst_on_few_engines()
{
    return simulation_plan_from_text(R"({
        "name": "burst", "run_s": 12, "routers": 3, "engines": 4, "engine": {"slots": 16, "memory_tokens": 60000},
        "kinds": [
            {"name": "draft", "requests_per_second": 4, "priority": 2, "objective_ms": 2000, "max_gap_ms": 1000,
             "deadline_ms": 8000, "levels": [{"parts": 4, "tokens": {"mean": 2500}}, {"parts": 50, "tokens": {"mean": 3800}}],
             "prompt_tokens": {"mean": 2900, "sigma": 1.0, "most": 30000}, "events": {"mean": 17, "most": 70}},
            {"name": "ask", "requests_per_second": 5, "priority": 1, "objective_ms": 600, "max_gap_ms": 400,
             "deadline_ms": 4000, "prompt_tokens": {"mean": 2300, "sigma": 1.3, "most": 7000}, "events": {"mean": 8, "most": 30}},
            {"name": "guide", "requests_per_second": 4, "priority": 0, "objective_ms": 400, "max_gap_ms": 250,
             "deadline_ms": 15000, "prompt_tokens": {"mean": 700, "sigma": 0.9, "most": 2300},
             "events": {"mean": 81, "sigma": 1.2, "most": 190}}],
        "swells": [{"kind": "guide", "from_ms": 1000, "to_ms": 11000, "factor": 8}],
        "outages": [{"at_ms": 3000, "lasts_ms": 8000, "engines": 2}]
    })")
        .value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_simulation)

BOOST_AUTO_TEST_SUITE(part_memory_of_an_engine)

BOOST_AUTO_TEST_CASE(keeps_parts_until_others_need_their_place)
{
    part_memory memory(1000);
    const std::vector<prompt_part> first{{1, 400}, {2, 200}};
    BOOST_TEST(memory.missing(first) == 600U);
    BOOST_REQUIRE(memory.take(first));
    BOOST_TEST_CONTEXT("parts that are still being read help nobody")
    {
        BOOST_TEST(memory.missing(first) == 600U);
    }
    memory.set_read(first);
    BOOST_TEST(memory.missing(first) == 0U);
    BOOST_TEST_CONTEXT("parts in use do not yield")
    {
        BOOST_TEST(!memory.take(std::vector<prompt_part>{{3, 500}}));
        BOOST_TEST(memory.used() == 600U);
    }
    memory.release(first);
    BOOST_TEST(memory.used() == 600U);
    BOOST_TEST(memory.take(std::vector<prompt_part>{{3, 700}}));
    BOOST_TEST(memory.missing(first) > 0U);
}

BOOST_AUTO_TEST_CASE(counts_from_the_first_part_that_is_lacking)
{
    part_memory memory(1000);
    const std::vector<prompt_part> held{{2, 200}};
    memory.take(held);
    memory.set_read(held);
    BOOST_TEST(memory.missing(std::vector<prompt_part>{{1, 400}, {2, 200}}) == 600U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_engine)

BOOST_AUTO_TEST_CASE(reads_a_shared_part_once)
{
    engine_model engine{engine_figures{}};
    engine.submit(run_of(1, 100, 3), start);
    play(engine);
    BOOST_TEST(engine.tokens_read() == 1100U);
    engine.submit(run_of(2, 100, 3), start);
    play(engine);
    BOOST_TEST(engine.tokens_read() == 1200U);
    BOOST_TEST(engine.shared_tokens_read() == 1000U);
}

BOOST_AUTO_TEST_CASE(makes_streams_wait_while_it_reads_a_long_prompt)
{
    engine_model alone{engine_figures{}};
    alone.submit(run_of(1, 100, 50), start);
    const auto quick = play(alone)[1];
    engine_model shared{engine_figures{}};
    shared.submit(run_of(1, 100, 50), start);
    shared.submit(run_of(2, 30000, 1), start);
    BOOST_TEST((play(shared)[1] > quick + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(admits_the_urgent_first_and_displaces_the_others)
{
    engine_figures figures;
    figures.slots = 1;
    engine_model engine(figures);
    engine.submit(run_of(1, 100, 200, 5), start);
    engine.advance(start);
    engine.submit(run_of(2, 100, 5, 0), start);
    auto ends = play(engine);
    BOOST_TEST((ends[2] < ends[1]));
    BOOST_TEST(engine.preemptions() == 1U);
}

BOOST_AUTO_TEST_CASE(displaces_the_newest_when_outputs_outgrow_its_memory)
{
    engine_figures figures;
    figures.memory_tokens = 1500;
    engine_model engine(figures);
    engine.submit(run_of(1, 100, 250), start);
    engine.submit(run_of(2, 100, 250), start);
    auto ends = play(engine);
    BOOST_TEST(ends.size() == 2U);
    BOOST_TEST((ends[1] < ends[2]));
    BOOST_TEST(engine.preemptions() >= 1U);
}

BOOST_AUTO_TEST_CASE(refuses_past_its_queue)
{
    engine_figures figures;
    figures.slots = 1;
    figures.queue = 1;
    engine_model engine(figures);
    engine.submit(run_of(1, 100, 5), start);
    engine.submit(run_of(2, 100, 5), start);
    const auto told = engine.advance(start);
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST((told[0].what == engine_news::kind::refused));
    BOOST_TEST(told[0].run == 2U);
}

BOOST_AUTO_TEST_CASE(forgets_a_run_that_is_cancelled)
{
    engine_model engine{engine_figures{}};
    engine.submit(run_of(1, 100, 50), start);
    engine.advance(start);
    engine.cancel(1);
    BOOST_TEST(engine.running() == 0U);
    BOOST_TEST(play(engine).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_plan)

BOOST_AUTO_TEST_CASE(names_every_fault_at_once)
{
    const auto wrong = simulation_plan_from_text(R"({"name": 3, "engines": 0, "kindz": []})");
    BOOST_REQUIRE(!wrong.has_value());
    for (const auto* path : {"name", "engines", "kinds", "kindz"}) {
        BOOST_TEST(wrong.error().message.find(path) != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(compares_with_the_baseline_unless_it_names_placements)
{
    const auto plan = plan_with_rate("5");
    BOOST_REQUIRE(plan.placements.size() == 2U);
    BOOST_TEST(std::holds_alternative<least_in_flight>(plan.placements[1].rule));
}

BOOST_AUTO_TEST_CASE(gives_the_same_calls_for_the_same_seed)
{
    const auto plan = plan_with_rate("20");
    const auto calls = calls_of(plan, 1);
    const auto again = calls_of(plan, 1);
    const auto other = calls_of(plan, 2);
    BOOST_REQUIRE(calls.size() > 20U);
    BOOST_REQUIRE(calls.size() == again.size());
    BOOST_TEST((calls.back().at == again.back().at));
    BOOST_TEST((other.empty() || calls.back().at != other.back().at));
    BOOST_TEST(std::ranges::is_sorted(calls, {}, &simulated_call::at));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_fleet)

BOOST_AUTO_TEST_CASE(accounts_for_every_call)
{
    const auto plan = plan_with_rate("20");
    for (const auto& placement : plan.placements) {
        const auto result = simulated_fleet(plan, placement, 3).run();
        BOOST_REQUIRE(result.kinds.size() == 2U);
        for (const auto& kind : result.kinds) {
            BOOST_TEST(kind.offered > 0U);
            BOOST_TEST(kind.on_time + kind.late + kind.refused + kind.failed == kind.offered);
            BOOST_TEST(kind.worth <= kind.worth_owed);
        }
        BOOST_TEST(result.tokens_reread <= result.tokens_read);
    }
}

BOOST_AUTO_TEST_CASE(serves_a_light_load_on_time_and_repeats_itself)
{
    auto plan = plan_with_rate("3");
    plan.outages.clear();
    const auto result = simulated_fleet(plan, plan.placements.front(), 3).run();
    for (const auto& kind : result.kinds) {
        BOOST_TEST(kind.on_time == kind.offered);
    }
    const auto again = simulated_fleet(plan, plan.placements.front(), 3).run();
    BOOST_TEST(again.tokens_read == result.tokens_read);
    BOOST_TEST(again.worth_share() == result.worth_share());
}

BOOST_AUTO_TEST_CASE(tells_callers_to_come_back_under_overload)
{
    const auto plan = plan_with_rate("300");
    const auto result = simulated_fleet(plan, plan.placements.front(), 3).run();
    BOOST_TEST(result.kinds[0].refused > 0U);
    BOOST_TEST(result.kinds[0].returned >= result.kinds[0].returned_and_served);
    BOOST_TEST_CONTEXT("and keeps the more urgent kind going")
    {
        BOOST_TEST(result.kinds[1].on_time * 2 > result.kinds[1].offered);
    }
}

BOOST_AUTO_TEST_CASE(preempts_no_request_while_a_less_urgent_one_of_equal_workspaces_runs_on)
{
    const std::vector<std::vector<std::uint8_t>> priorities_of_workspaces = {
        {}, {0, 1, 1, 1, 1}, {1}, {3, 4, 5}, {0, 2, 9}, {200, 7}};
    for (const auto& priorities : priorities_of_workspaces) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto plan = plan_of_a_burst_on_few_engines();
            plan.workspace_priorities = priorities;
            const auto result = simulated_fleet(plan, {"prompt_affinity", prompt_affinity{}}, seed).run();
            BOOST_TEST_CONTEXT("workspaces " << priorities.size() << " seed " << seed)
            {
                BOOST_TEST(result.preemptions > 0U);
                BOOST_TEST(result.inverted_preemptions == 0U);
            }
        }
    }
}

// A burst of short streams had taken half of the engines, and kept them for seconds after its end while long
// prompts were refused. The kinds of prompts and the engines are those of a deployment with 53 engines, at a
// third of its size.
BOOST_AUTO_TEST_CASE(serves_a_burst_of_long_prompts_after_one_of_short_streams)
{
    const auto plan = simulation_plan_from_text(R"({
        "name": "bursts", "run_s": 16, "zones": 3, "routers": 10, "engines": 18,
        "engine": {"slots": 128, "queue": 384, "memory_tokens": 320000, "tokens_per_event": 5, "step_ms": 4.4,
                   "prompt_tokens_per_ms": 70, "copied_tokens_per_ms": 500},
        "kinds": [
            {"name": "long", "requests_per_second": 60, "priority": 2, "objective_ms": 1500, "max_gap_ms": 800,
             "deadline_ms": 5000, "worth": 2.8, "late_worth": 0.3,
             "levels": [{"parts": 4, "tokens": {"mean": 2500, "sigma": 0.4, "most": 6300}},
                        {"parts": 400, "tokens": {"mean": 3800, "sigma": 0.7, "most": 11300}}],
             "prompt_tokens": {"mean": 2900, "sigma": 1, "most": 40000}, "events": {"mean": 10, "sigma": 1, "most": 42}},
            {"name": "middle", "requests_per_second": 110, "priority": 1, "objective_ms": 500, "max_gap_ms": 300,
             "deadline_ms": 3000, "worth": 2.1, "late_worth": 0.2,
             "levels": [{"parts": 80, "tokens": {"mean": 340, "sigma": 0.4, "most": 850}}],
             "prompt_tokens": {"mean": 1800, "sigma": 1.3, "most": 6900}, "events": {"mean": 5, "sigma": 1, "most": 18}},
            {"name": "short", "requests_per_second": 55, "priority": 0, "objective_ms": 400, "max_gap_ms": 200,
             "deadline_ms": 15000, "worth": 1.5, "late_worth": 0.05,
             "levels": [{"parts": 16, "tokens": {"mean": 100, "sigma": 0.4, "most": 260}}],
             "prompt_tokens": {"mean": 540, "sigma": 0.9, "most": 2300}, "events": {"mean": 56, "sigma": 0.7, "most": 177}}],
        "swells": [{"kind": "short", "from_ms": 5000, "to_ms": 8000, "factor": 4},
                   {"kind": "long", "from_ms": 7500, "to_ms": 11000, "factor": 2.5}]})");
    BOOST_REQUIRE(plan.has_value());
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto result = simulated_fleet(plan.value(), {"prompt_affinity", prompt_affinity{}}, seed).run();
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            for (const auto& kind : result.kinds) {
                BOOST_TEST_MESSAGE(kind.name << " offered " << kind.offered << " on time " << kind.on_time
                                             << " late " << kind.late << " refused " << kind.refused
                                             << " failed " << kind.failed << " read again "
                                             << result.tokens_reread);
                // The share that the operators of such a deployment ask for on their heaviest days.
                BOOST_TEST((kind.on_time + kind.late) * 10 >= kind.offered * 9);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_reported_as_a_table_json_and_a_plot)
{
    const auto plan = plan_with_rate("5");
    const std::vector results{simulated_fleet(plan, plan.placements[0], 3).run(),
                              simulated_fleet(plan, plan.placements[1], 3).run()};
    const auto table = simulation_table(plan.name, results);
    BOOST_TEST(table.find("least_in_flight") != std::string::npos);
    BOOST_TEST(table.find("read again") != std::string::npos);
    BOOST_TEST(simulation_json(plan.name, results).at("runs").size() == 2U);
    const auto plot = simulation_plot(plan.name, results, "out.svg");
    BOOST_TEST(plot.find("set output 'out.svg'") != std::string::npos);
    BOOST_TEST(plot.find("draft, prompt_affinity") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
