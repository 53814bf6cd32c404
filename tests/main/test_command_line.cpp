#include "main/command_completion.h"
#include "main/command_line.h"
#include "main/manual_page.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace clementinegap;

namespace {

const std::filesystem::path docs = std::filesystem::path(CG_SOURCE_DIR) / "docs";

std::string text_of(const std::filesystem::path& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_command_line)

BOOST_AUTO_TEST_CASE(has_help_and_an_example_for_every_command)
{
    for (const auto& item : commands()) {
        BOOST_TEST_CONTEXT(item.name)
        {
            BOOST_TEST(item.examples.find("clementinegap " + std::string(item.name)) !=
                       std::string_view::npos);
            BOOST_TEST(overview_text().find(std::string(item.summary)) != std::string::npos);
            for (const auto& option : item.options) {
                BOOST_TEST(help_text(item).find("--" + std::string(option.name)) != std::string::npos);
                BOOST_TEST(bash_completion().find("--" + std::string(option.name) + " ") !=
                           std::string::npos);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(has_the_manual_pages_that_its_table_gives)
{
    std::size_t pages = 0;
    for (const auto& item : commands()) {
        const auto file = docs / "man" / ("clementinegap-" + std::string(item.name) + ".1");
        BOOST_TEST(text_of(file) == manual_page(item), file << " differs; run misc/generate_docs.sh");
        ++pages;
    }
    const auto files = std::filesystem::directory_iterator(docs / "man");
    BOOST_TEST(static_cast<std::size_t>(std::distance(begin(files), end(files))) == pages);
}

BOOST_AUTO_TEST_CASE(has_the_page_of_result_codes)
{
    BOOST_TEST(text_of(docs / "codes.md") == codes_page(),
               "docs/codes.md differs; run misc/generate_docs.sh");
}

BOOST_AUTO_TEST_SUITE(given_wrong_words)

BOOST_AUTO_TEST_CASE(says_usage)
{
    const std::vector<std::vector<std::string>> wrong{
        {},
        {"unknown"},
        {"codes", "--no-such-option"},
        {"status"},
        {"drain"},
        {"drain", "vm-1"},
        {"timeline", "--admin", "127.0.0.1:1", "--format", "picture"},
        {"timeline", "--admin", "127.0.0.1:1", "--explain"},
        {"timeline", "--admin", "127.0.0.1:1", "--from", "noon"},
        {"record", "show", "only-a-workspace"},
        {"record", "resolve", "shop", "k", "--platform", "http://127.0.0.1:1"},
        {"completion", "no-shell"},
        {"manual", "no-command"}};
    for (const auto& words : wrong) {
        BOOST_TEST_CONTEXT(words.size() << " words, last " << (words.empty() ? "" : words.back()))
        {
            BOOST_TEST((run_command(words) == exit_code::usage));
        }
    }
}

BOOST_AUTO_TEST_CASE(says_unreachable_when_nobody_listens)
{
    // Port 1 on the loopback address refuses connections.
    for (const auto* name : {"status", "timeline"}) {
        BOOST_TEST((run_command({name, "--admin", "127.0.0.1:1"}) == exit_code::unreachable));
    }
    BOOST_TEST((run_command({"record", "show", "shop", "k", "--platform", "http://127.0.0.1:1"}) ==
                exit_code::unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
