#include "experiment/distribution.h"
#include "experiment/load_experiment.h"
#include "experiment/load_measures.h"
#include "experiment/load_plan.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace clementinegap;

namespace {

load_experiment small_experiment()
{
    load_experiment experiment;
    experiment.name = "small";
    experiment.run = seconds(10);
    experiment.classes = {{"guide", "/v1", "assistant", true, 50, 20, 0.5, 100, milliseconds(300)}};
    experiment.workspaces = {{"one", 3}, {"two", 1}};
    experiment.swings = {{seconds(4), seconds(6), 4, "", "two"}};
    return experiment;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_load_experiment)

BOOST_AUTO_TEST_CASE(names_every_fault_of_its_file_at_once)
{
    const auto read = load_experiment_from_text(
        R"({"name": 7, "run_ms": 0, "clases": [], "classes": [{"name": "a", "requests_per_second": -1}],
            "workspaces": [{"key": "k"}], "swings": [{"from_ms": 5, "to_ms": 5, "factor": 2}]})");
    BOOST_REQUIRE(!read.has_value());
    for (const std::string part : {"name", "run_ms", "clases", "requests_per_second", "target_ms", "to_ms"}) {
        BOOST_TEST(read.error().message.find(part) != std::string::npos, part);
    }
}

BOOST_AUTO_TEST_CASE(is_shipped_in_files_that_are_valid)
{
    int count = 0;
    for (const auto& file :
         std::filesystem::directory_iterator(std::string(CG_SOURCE_DIR) + "/experiments")) {
        std::ostringstream text;
        text << std::ifstream(file.path()).rdbuf();
        const auto read = load_experiment_from_text(text.str());
        BOOST_TEST(read.has_value(), file.path().string());
        ++count;
    }
    BOOST_TEST(count == 10);
}

BOOST_AUTO_TEST_CASE(gives_the_same_arrivals_for_the_same_seed_and_follows_its_swings)
{
    auto experiment = small_experiment();
    const auto plan = plan_arrivals(experiment);
    BOOST_TEST((plan == plan_arrivals(experiment)));
    std::size_t swung = 0;
    std::size_t usual = 0;
    for (const auto& arrival : plan) {
        swung += arrival.workspace_index == 1 && arrival.at >= seconds(4) && arrival.at < seconds(6) ? 1 : 0;
        usual += arrival.workspace_index == 1 && arrival.at < seconds(2) ? 1 : 0;
    }
    // 12.5 a second against 50 a second over two seconds, within what a Poisson stream varies.
    BOOST_TEST(usual > 10U);
    BOOST_TEST(usual < 45U);
    BOOST_TEST(swung > 65U);
    BOOST_TEST(swung < 140U);
    experiment.seed = 2;
    BOOST_TEST((plan != plan_arrivals(experiment)));
}

BOOST_AUTO_TEST_CASE(counts_a_late_a_failed_and_a_wasted_answer)
{
    const auto experiment = small_experiment();
    const std::vector<load_arrival> plan{
        {seconds(1), 0, 0, 10, false}, {seconds(5), 0, 1, 10, false}, {seconds(5), 0, 1, 10, false}};
    std::vector<load_result> results(3);
    results[0] = {seconds(1), seconds(1), seconds(1) + milliseconds(300), seconds(2), 200, 0, 10,
                  true,       false};
    results[1] = {seconds(5), seconds(5), seconds(5) + milliseconds(301), seconds(6), 200, 0, 10,
                  true,       false};
    results[2] = {seconds(5), seconds(5), milliseconds(-1), seconds(6), 503, 201, 0, false, true};
    const auto run = measure(experiment, plan, results, 25, "product");
    const auto& figures = run.classes.at(0);
    BOOST_TEST(figures.offered == 3U);
    BOOST_TEST(figures.complete == 2U);
    BOOST_TEST(figures.attained == 1U);
    BOOST_TEST(figures.crest_offered == 2U);
    BOOST_TEST(figures.crest_attained == 0U);
    BOOST_TEST(figures.failures.at(201) == 1);
    BOOST_TEST(run.goodput == 1.0);
    BOOST_TEST(run.wasted_share() == 0.2);
}

BOOST_AUTO_TEST_CASE(takes_quantiles_by_nearest_rank)
{
    const std::vector<duration> sorted{duration(1), duration(2), duration(3), duration(4)};
    BOOST_TEST(quantile_of(sorted, 0.5).count() == 2);
    BOOST_TEST(quantile_of(sorted, 0.99).count() == 4);
    BOOST_TEST(quantile_of(sorted, 0).count() == 1);
    BOOST_TEST(quantile_of({}, 0.5).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
