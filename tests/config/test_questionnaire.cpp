#include "config/configuration_diff.h"
#include "config/empty_questionnaire.h"
#include "config/questionnaire.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

using namespace clementinegap;

namespace {

constexpr int wrong_of_each_kind = 100;

std::string example(const std::string& name)
{
    std::ifstream file(std::string(CG_SOURCE_DIR) + "/examples/" + name + ".questionnaire.json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

questionnaire answers_of(const std::string& text)
{
    const auto result = questionnaire_from_text(text);
    const auto problem = result.has_value() ? std::string() : result.error().message;
    BOOST_REQUIRE_MESSAGE(result.has_value(), problem);
    return result.value();
}

json document_of(const std::string& text)
{
    fault_list faults;
    return *parse_json_with_comments(text, faults);
}

/// A random object within the document, or the document itself.
json& random_container(json& document, std::mt19937_64& random)
{
    std::vector<json*> found{&document};
    for (std::size_t i = 0; i < found.size(); ++i) {
        for (auto& child : *found[i]) {
            if (child.is_object() && !child.empty()) {
                found.push_back(&child);
            } else if (child.is_array()) {
                for (auto& item : child) {
                    if (item.is_object()) {
                        found.push_back(&item);
                    }
                }
            }
        }
    }
    return *found[random() % found.size()];
}

/// Makes the document invalid at one random place: an unknown member, a value of a wrong type, or a truncated
/// text.
std::string broken(const json& valid, std::mt19937_64& random)
{
    auto document = valid;
    auto& target = random_container(document, random);
    auto member = target.begin();
    std::advance(member, static_cast<std::ptrdiff_t>(random() % target.size()));
    switch (random() % 4) {
    case 0:
        target["no_such_name_" + std::to_string(random() % 10)] = 1;
        break;
    case 1:
        // No member accepts null.
        *member = nullptr;
        break;
    case 2:
        *member = json::array({json::object({{"x", 1}})});
        break;
    default:
        return document.dump().substr(0, 1 + random() % (document.dump().size() - 2));
    }
    return document.dump();
}

template <class Read> void check_refused(const std::string& text, Read read)
{
    const auto result = read(text);
    BOOST_TEST_CONTEXT(text)
    {
        BOOST_REQUIRE(!result.has_value());
        const auto& message = result.error().message;
        BOOST_TEST(message.find(": found ") != std::string::npos);
        BOOST_TEST(message.find("; allowed: ") != std::string::npos);
    }
}

std::string problem_of(const std::vector<questionnaire>& teams)
{
    const auto result = generate_configuration(teams);
    BOOST_REQUIRE(!result.has_value());
    return result.error().message;
}

bool names(const std::string& text, std::initializer_list<const char*> words)
{
    return std::ranges::all_of(words, [&](const char* word) { return text.find(word) != std::string::npos; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_questionnaire)

BOOST_AUTO_TEST_CASE(of_each_deployment_generates_the_same_configuration_every_time)
{
    for (const auto* name : {"lanyu", "cartago"}) {
        const auto once = generate_configuration({answers_of(example(name))});
        const auto again = generate_configuration({answers_of(example(name))});
        BOOST_REQUIRE(once.has_value());
        BOOST_TEST(configuration_hash(once.value()) == configuration_hash(again.value()));
    }
}

BOOST_AUTO_TEST_CASE(requires_a_key_for_unrepeatable_work_and_serves_waiting_persons_first)
{
    const auto value = generate_configuration({answers_of(example("cartago"))}).value();
    BOOST_TEST((value.find_class("work_order")->repeat == repeat_rule::never));
    BOOST_TEST(value.find_class("work_order")->key_required);
    BOOST_TEST((value.find_class("plaque_status")->repeat == repeat_rule::idempotent));
    BOOST_TEST(value.find_class("counter_reply")->tier == 0);
    BOOST_TEST(value.find_class("dossier")->tier == max_tiers - 1);
}

BOOST_AUTO_TEST_CASE(explains_every_generated_value_by_an_answer)
{
    const auto answers = answers_of(example("lanyu"));
    const auto lines = explain_configuration({answers}).value();
    const auto deposit = std::ranges::find(lines, "classes.deposit_booking.key_required", &explanation::path);
    BOOST_REQUIRE((deposit != lines.end()));
    BOOST_TEST(deposit->because == "repetition \"money_or_damage\"");
    BOOST_TEST(lines.size() >= 9 * answers.work.size());
}

BOOST_AUTO_TEST_CASE(that_is_changed_lists_exactly_the_change)
{
    auto answers = answers_of(example("lanyu"));
    const auto before = generate_configuration({answers}).value();
    answers.callers.front().share = 5;
    const auto lines = describe_changes(before, generate_configuration({answers}).value());
    BOOST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines.front() == "workspaces.shop-floor.weight: 2.0 -> 5.0");
}

BOOST_AUTO_TEST_CASE(that_is_empty_equals_the_shipped_file_and_reports_missing_values)
{
    BOOST_TEST(std::string(empty_questionnaire()) == example("empty"));
    const auto result = questionnaire_from_text(empty_questionnaire());
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(
        names(result.error().message, {"team", "work[0].name", "work[0].who_waits", "callers[0].workspace"}));
}

BOOST_AUTO_TEST_SUITE(in_conflict)

BOOST_AUTO_TEST_CASE(names_both_teams_that_claim_a_class_a_workspace_or_a_path)
{
    auto lanyu = answers_of(example("lanyu"));
    auto cartago = answers_of(example("cartago"));
    cartago.work[0].name = "seam_question";
    cartago.callers[0].workspace = "shop-floor";
    const auto problem = problem_of({lanyu, cartago});
    BOOST_TEST(names(problem, {"work \"seam_question\" is claimed by team \"lanyu\" and team \"cartago\"",
                               "workspace \"shop-floor\" is claimed by team \"lanyu\" and team \"cartago\"",
                               "path \"/v1/chat/completions\" is claimed by"}));
}

BOOST_AUTO_TEST_CASE(names_the_targets_and_the_capacity_that_cannot_meet_them)
{
    auto answers = answers_of(example("cartago"));
    answers.work[0].peak_requests_per_second = 100;
    const auto problem = problem_of({answers});
    BOOST_TEST(
        names(problem, {"work \"counter_reply\" of team \"cartago\"", "\"registry\"", "capacity stated"}));
}

BOOST_AUTO_TEST_CASE(names_work_that_needs_an_eighth_tier_and_work_in_an_ordering_cycle)
{
    auto answers = answers_of(example("cartago"));
    answers.work[1].after = {"dossier"};
    answers.work[2].after = {};
    BOOST_TEST(names(problem_of({answers}), {"\"crew_note\"", "tier 8 of 7", "\"dossier\""}));
    answers.work[2].after = {"crew_note"};
    BOOST_TEST(names(problem_of({answers}), {"\"crew_note\"", "\"dossier\"", "comes after"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_fault)

BOOST_AUTO_TEST_CASE(is_rejected_with_path_and_allowed_values_for_random_faults)
{
    std::mt19937_64 random(6);
    const std::array valid{document_of(example("lanyu")), document_of(example("cartago"))};
    for (int i = 0; i < wrong_of_each_kind; ++i) {
        check_refused(broken(valid.at(random() % 2), random), questionnaire_from_text);
    }
}

BOOST_AUTO_TEST_CASE(is_rejected_for_typical_mistakes_of_people)
{
    const auto valid = example("lanyu");
    const auto with = [&](const std::string& from, const std::string& to) {
        auto text = valid;
        const auto at = text.find(from);
        BOOST_REQUIRE(at != std::string::npos);
        return text.replace(at, from.size(), to);
    };
    const std::array wrong{
        with("2027-06-30", "2027-02-30"),
        with("2027-06-30", "30.6.2027"),
        with("\"lanyu\"", "\" \""),
        with("work_stops", "work_stop"),
        with("who_waits", "who_wait"),
        with("\"share\": 2", "\"share\": -2"),
        with("\"share\": 2", "\"share\": 1e999"),
        with("c48a01f4", "C48A01F4"),
        with("c48a01f4", "c48a01"),
        with("\"/services/bookings\"", "\"services\""),
        with("true", "\"yes\""),
        std::string(100'000, '['),
        std::string("{\"team\": \"\xff\"}"),
        std::string(),
    };
    for (const auto& text : wrong) {
        check_refused(text, questionnaire_from_text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_wrong_configuration)

BOOST_AUTO_TEST_CASE(is_rejected_with_path_and_allowed_values_for_random_faults)
{
    std::mt19937_64 random(7);
    const auto valid = to_json(generate_configuration({answers_of(example("lanyu"))}).value());
    for (int i = 0; i < wrong_of_each_kind; ++i) {
        check_refused(broken(valid, random), configuration_from_json);
    }
}

BOOST_AUTO_TEST_SUITE_END()
