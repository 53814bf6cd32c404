#include "fakes/scenario.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace clementinegap;

namespace {

std::string text_of(const std::filesystem::path& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

void tell(const std::filesystem::path& path)
{
    const auto name = "tests/scenarios/" + path.filename().string();
    try {
        const auto failures = scenario(name, text_of(path)).run();
        for (const auto& failure : failures) {
            BOOST_ERROR(failure);
        }
        BOOST_CHECK(failures.empty());
    } catch (const scenario_error& error) {
        BOOST_ERROR(error.what());
    }
}

/// One test case a file, named like it.
struct register_stories {
    register_stories()
    {
        auto* suite = BOOST_TEST_SUITE("stories");
        for (const auto& item : std::filesystem::directory_iterator(CG_SOURCE_DIR "/tests/scenarios")) {
            const auto& path = item.path();
            if (path.extension() == ".scenario") {
                suite->add(boost::unit_test::make_test_case([path] { tell(path); }, path.stem().string(),
                                                            __FILE__, __LINE__));
            }
        }
        boost::unit_test::framework::master_test_suite().add(suite);
    }
};

const register_stories registered;

std::string error_of(const std::string& text)
{
    try {
        const scenario read("a.scenario", text);
        return "";
    } catch (const scenario_error& error) {
        return error.what();
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_scenario_language)

BOOST_AUTO_TEST_CASE(names_file_and_line_of_what_it_does_not_understand)
{
    BOOST_TEST(error_of("# A comment\nat 1s upstream u1 explodes\n") ==
               "a.scenario:2: not a sentence of the language: upstream u1 explodes");
    BOOST_TEST(error_of("at noon upstream u1 crashes\n") ==
               "a.scenario:1: after 'at' comes a time such as 3s or 250ms");
    BOOST_TEST(error_of("upstream u1 crashes\n") ==
               "a.scenario:1: an event needs its time: at 3s upstream u1 crashes");
    BOOST_TEST(error_of("at 1s upstream e1 crashes\n").starts_with("a.scenario:1: 'e1' names no VM"));
    BOOST_TEST(error_of("expect b7 failed with bad_luck\n").starts_with("a.scenario:1: 'bad_luck' is no"));
    BOOST_TEST(error_of("at 1s guide g1 arrives at e1\n") == "a.scenario:1: the story expects nothing");
}

BOOST_AUTO_TEST_CASE(fails_a_story_whose_expectation_does_not_hold)
{
    scenario story("a.scenario", "at 1s guide g1 arrives at e1\nexpect g1 never ran\n");
    const auto failures = story.run();
    BOOST_REQUIRE(failures.size() == 1U);
    BOOST_TEST(failures[0] == "a.scenario:2: g1 ran 1 times");
    scenario unnamed("a.scenario", "expect g9 never ran\n");
    BOOST_TEST(unnamed.run().size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_documented_sentence_by_sentence)
{
    const auto page = text_of(CG_SOURCE_DIR "/docs/scenario-language.md");
    for (const auto& sentence : scenario::sentences()) {
        BOOST_TEST(page.find("`" + sentence + "`") != std::string::npos, sentence);
    }
}

BOOST_AUTO_TEST_SUITE_END()
