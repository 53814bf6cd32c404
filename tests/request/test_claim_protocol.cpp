#include "request/messages.h"
#include "request/run_claims.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <vector>

using namespace clementinegap;

namespace {

constexpr int depth = 8;
constexpr std::size_t daemons = 2;
constexpr duration pause = seconds(6);

/// The outcome of one operation at the table service.
enum class operation_outcome : std::uint8_t { applied, applied_answer_lost, refused, late };

constexpr std::array all_outcomes{operation_outcome::applied, operation_outcome::applied_answer_lost,
                                  operation_outcome::refused, operation_outcome::late};

struct operation {
    std::size_t daemon{0};
    upstream_action action;
    bool has_asker{true}; ///< False once its result was delivered or its daemon crashed.
};

/// Two upstream daemons, each with one attempt of another entry under the same key, and the table's one row.
struct model_state {
    std::array<run_claims, daemons> claims{run_claims(), run_claims()};
    std::array<bool, daemons> begun{};
    std::array<bool, daemons> crashed{};
    std::array<bool, daemons> given_up{};
    std::vector<operation> open;
    std::optional<run_record> row;
    time_point now{seconds(1)};
    int pauses{0};
    int runs{0};
    int acquired{0};
};

run_record record_of(std::size_t daemon)
{
    run_record record;
    record.workspace = "shop";
    record.key = "k";
    record.attempt = {daemon + 1, 1};
    record.upstream = daemon == 0 ? "u1" : "u2";
    record.incarnation = 1;
    return record;
}

void gather(model_state& state, std::size_t daemon)
{
    for (auto& action : state.claims[daemon].take_actions()) {
        if (!std::holds_alternative<emit_record>(action)) {
            state.open.push_back({daemon, std::move(action)});
        }
    }
}

store_result apply(model_state& state, const claim_run& action)
{
    if (state.row) {
        return store_result::exists;
    }
    state.row = action.record;
    return store_result::done;
}

store_result apply(model_state& state, const read_run& /*action*/)
{
    return state.row ? store_result::done : store_result::absent;
}

store_result apply(model_state& state, const finish_run& action)
{
    if (!state.row || state.row->attempt != action.record.attempt) {
        return store_result::exists;
    }
    state.row = action.record;
    return store_result::done;
}

store_result apply(model_state& state, const release_run& action)
{
    if (!state.row) {
        return store_result::absent;
    }
    if (state.row->attempt != action.record.attempt || state.row->phase != run_phase::started) {
        return store_result::exists;
    }
    state.row.reset();
    return store_result::done;
}

/// The states after a daemon's claim was confirmed: its run reaches the engine, or no byte of it does.
std::vector<model_state> after_start(const model_state& before, std::size_t daemon)
{
    auto ran = before;
    ++ran.acquired;
    ++ran.runs;
    auto outcome = record_of(daemon);
    outcome.phase = run_phase::finished;
    ran.claims[daemon].finish(outcome, ran.now);
    gather(ran, daemon);
    auto not_reached = before;
    ++not_reached.acquired;
    not_reached.claims[daemon].release(outcome.attempt, not_reached.now);
    gather(not_reached, daemon);
    return {std::move(ran), std::move(not_reached)};
}

std::vector<model_state> answer(model_state state, const operation& asked, store_result result)
{
    auto& claims = state.claims[asked.daemon];
    const auto attempt = record_of(asked.daemon).attempt;
    const auto row = state.row.value_or(run_record{});
    std::optional<claim_outcome> outcome;
    std::visit(overloaded{[&](const claim_run&) {
                              outcome = claims.on_result(claim_completed{attempt, result, row}, state.now);
                          },
                          [&](const read_run&) {
                              outcome = claims.on_result(record_read{attempt, result, row}, state.now);
                          },
                          [&](const finish_run&) {
                              claims.on_result(finish_completed{attempt, result}, state.now);
                          },
                          [&](const release_run&) {
                              outcome = claims.on_result(release_completed{attempt, result}, state.now);
                          },
                          [](const auto&) {}},
               asked.action);
    gather(state, asked.daemon);
    if (outcome && outcome->what == claim_outcome::kind::acquired) {
        return after_start(state, asked.daemon);
    }
    return {std::move(state)};
}

std::vector<model_state> settle(const model_state& before, std::size_t index, operation_outcome what)
{
    auto state = before;
    const auto asked = state.open[index];
    state.open.erase(state.open.begin() + static_cast<std::ptrdiff_t>(index));
    if (what == operation_outcome::refused) {
        return answer(std::move(state), asked, store_result::unavailable);
    }
    if (what == operation_outcome::late) {
        state.open.push_back({asked.daemon, asked.action, false});
        return answer(std::move(state), asked, store_result::unknown);
    }
    const auto result = std::visit(overloaded{[&](const claim_run& value) { return apply(state, value); },
                                              [&](const read_run& value) { return apply(state, value); },
                                              [&](const finish_run& value) { return apply(state, value); },
                                              [&](const release_run& value) { return apply(state, value); },
                                              [](const auto&) { return store_result::unavailable; }},
                                   asked.action);
    if (!asked.has_asker) {
        return {std::move(state)};
    }
    return answer(std::move(state), asked,
                  what == operation_outcome::applied ? result : store_result::unknown);
}

void add_steps_of(const model_state& before, std::size_t daemon, std::vector<model_state>& next)
{
    const auto attempt = record_of(daemon).attempt;
    if (before.crashed[daemon]) {
        return;
    }
    if (!before.begun[daemon]) {
        auto& state = next.emplace_back(before);
        state.begun[daemon] = true;
        state.claims[daemon].claim(record_of(daemon), state.now);
        gather(state, daemon);
        return;
    }
    if (!before.given_up[daemon] && before.acquired == 0) {
        auto& state = next.emplace_back(before);
        state.given_up[daemon] = true;
        state.claims[daemon].abandon(attempt, state.now);
        gather(state, daemon);
    }
    auto& state = next.emplace_back(before);
    state.crashed[daemon] = true;
    state.claims[daemon] = run_claims();
    for (auto& asked : state.open) {
        asked.has_asker = asked.has_asker && asked.daemon != daemon;
    }
}

std::vector<model_state> successors(const model_state& before)
{
    std::vector<model_state> next;
    for (std::size_t i = 0; i < before.open.size(); ++i) {
        for (const auto what : all_outcomes) {
            if (!before.open[i].has_asker && what != operation_outcome::applied) {
                continue;
            }
            for (auto& state : settle(before, i, what)) {
                next.push_back(std::move(state));
            }
        }
    }
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        add_steps_of(before, daemon, next);
    }
    if (before.pauses == 0) {
        auto& state = next.emplace_back(before);
        ++state.pauses;
        state.now += pause;
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            state.claims[daemon].on_timer(state.now);
            gather(state, daemon);
        }
    }
    return next;
}

struct exploration {
    std::uint64_t states{0};
    std::uint64_t runs{0};
    std::uint64_t doubled{0};

    void visit(const model_state& state, int steps_left)
    {
        ++states;
        runs += state.runs > 0 ? 1 : 0;
        doubled += state.runs > 1 ? 1 : 0;
        if (steps_left == 0 || doubled > 0) {
            return;
        }
        for (const auto& next : successors(state)) {
            visit(next, steps_left - 1);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_claim_protocol)

BOOST_AUTO_TEST_CASE(runs_a_key_at_most_once_in_every_order_of_losses_and_crashes)
{
    exploration all;
    all.visit(model_state{}, depth);
    BOOST_TEST_MESSAGE("states " << all.states << ", with a run " << all.runs);
    BOOST_TEST(all.doubled == 0U);
    // A model in which nothing ever runs would satisfy the invariant, too.
    BOOST_TEST(all.runs > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
