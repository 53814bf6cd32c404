#include "main/fake_table_port.h"
#include "main/submission.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

std::string answers_of(const std::string& team, int share)
{
    const auto key = std::string(63, '0') + (team == "lanyu" ? "1" : "2");
    return R"({"team": ")" + team + R"(", "work": [{"name": ")" + team +
           R"(_work", "served_by": "assistant", "who_waits": "nobody", "lateness": "none",
              "repetition": "none", "answer_length": "page"}],
              "callers": [{"workspace": ")" +
           team + R"(-desk", "key_sha256": ")" + key + R"(", "share": )" + std::to_string(share) + "}]}";
}

submission work_of(const std::string& team, int share, const std::string& id,
                   std::optional<std::uint64_t> based_on = std::nullopt)
{
    return {id, team, answers_of(team, share), based_on, 0};
}

struct table_fixture {
    fake_table_port table;
    duration waited{0};
    std::function<void()> while_waiting;
    submitter first{table, seconds(5), [this](duration span) {
                        waited += span;
                        if (while_waiting) {
                            while_waiting();
                        }
                    }};
    submitter second{table, seconds(5), [](duration) {}};

    double weight_of(const std::string& workspace_name)
    {
        const auto state = first.read_state();
        const auto* found = state.value().current->find_workspace(workspace_name);
        return found == nullptr ? 0 : found->weight;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_submission, table_fixture)

BOOST_AUTO_TEST_CASE(keeps_the_answers_of_the_other_teams_in_force)
{
    BOOST_TEST(first.submit(work_of("lanyu", 2, "a")).version == 1U);
    BOOST_TEST(first.submit(work_of("cartago", 3, "b")).version == 2U);
    BOOST_TEST(weight_of("lanyu-desk") == 2);
    BOOST_TEST(weight_of("cartago-desk") == 3);
    BOOST_TEST(first.read_history().value().size() == 2U);
}

BOOST_AUTO_TEST_SUITE(in_a_race)

BOOST_AUTO_TEST_CASE(of_one_team_with_itself_has_one_winner_and_a_loser_that_is_told_what_changed)
{
    first.submit(work_of("lanyu", 1, "a"));
    table.before_transact = [&] { BOOST_TEST(second.submit(work_of("lanyu", 7, "c", 1)).version == 2U); };
    const auto report = first.submit(work_of("lanyu", 4, "b", 1));
    BOOST_TEST((report.what == verdict::refused));
    BOOST_TEST(report.text.find("changed with version 2") != std::string::npos);
    BOOST_TEST(report.text.find("workspaces.lanyu-desk.weight: 4.0 -> 7.0") != std::string::npos);
    BOOST_TEST(weight_of("lanyu-desk") == 7);
}

BOOST_AUTO_TEST_CASE(of_two_teams_accepts_both)
{
    table.before_transact = [&] { BOOST_TEST(second.submit(work_of("cartago", 7, "b")).version == 1U); };
    const auto report = first.submit(work_of("lanyu", 4, "a"));
    BOOST_TEST(report.version == 2U);
    BOOST_TEST(weight_of("lanyu-desk") == 4);
    BOOST_TEST(weight_of("cartago-desk") == 7);
}

BOOST_AUTO_TEST_CASE(of_two_teams_that_claim_one_class_refuses_the_later_and_names_both)
{
    first.submit(work_of("cartago", 1, "a"));
    auto claim = work_of("lanyu", 1, "b");
    claim.answers.replace(claim.answers.find("lanyu_work"), 10, "cartago_work");
    const auto report = first.submit(claim);
    BOOST_TEST((report.what == verdict::refused));
    BOOST_TEST(report.text.find("\"lanyu\"") != std::string::npos);
    BOOST_TEST(report.text.find("\"cartago\"") != std::string::npos);
    BOOST_TEST(first.read_state().value().head.version == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_answer_is_lost)

BOOST_AUTO_TEST_CASE(after_the_effect_is_read_back_as_accepted_and_made_once)
{
    table.lost_answers = 1;
    const auto report = first.submit(work_of("lanyu", 2, "a"));
    BOOST_TEST((report.what == verdict::accepted));
    BOOST_TEST(report.version == 1U);
    BOOST_TEST(first.read_state().value().head.version == 1U);
}

BOOST_AUTO_TEST_CASE(before_the_effect_is_made_again_and_accepted_once)
{
    table.lost_requests = 1;
    BOOST_TEST(first.submit(work_of("lanyu", 2, "a")).version == 1U);
    BOOST_TEST(first.read_history().value().size() == 1U);
}

BOOST_AUTO_TEST_CASE(and_overtaken_by_another_change_is_still_told_as_accepted_with_its_own_version)
{
    table.lost_answers = 1;
    table.after_transact = [&] { second.submit(work_of("lanyu", 9, "b", 1)); };
    const auto report = first.submit(work_of("lanyu", 2, "a"));
    BOOST_TEST((report.what == verdict::accepted));
    BOOST_TEST(report.version == 1U);
    BOOST_TEST(weight_of("lanyu-desk") == 9);
}

BOOST_AUTO_TEST_CASE(and_the_store_is_down_from_then_on_is_reported_as_unknown_with_the_command_that_tells)
{
    table.lost_answers = 1;
    while_waiting = [&] { table.outage = true; };
    const auto report = first.submit(work_of("lanyu", 2, "abc"));
    BOOST_TEST((report.what == verdict::unknown));
    BOOST_TEST(report.text.find("config history --submission abc") != std::string::npos);
    table.outage = false;
    BOOST_TEST(first.find_submission("abc").value().value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(during_an_outage)

BOOST_AUTO_TEST_CASE(waits_and_is_accepted_when_the_store_is_back)
{
    table.outage = true;
    while_waiting = [&] { table.outage = waited < seconds(3); };
    BOOST_TEST((first.submit(work_of("lanyu", 2, "a")).what == verdict::accepted));
}

BOOST_AUTO_TEST_CASE(that_outlasts_its_patience_is_reported_as_not_accepted_and_leaves_nothing)
{
    table.outage = true;
    BOOST_TEST((first.submit(work_of("lanyu", 2, "a")).what == verdict::unreached));
    BOOST_TEST((waited <= seconds(7)));
    BOOST_TEST(table.rows.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
