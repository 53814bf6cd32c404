#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace {

const std::filesystem::path source_folder(CG_SOURCE_DIR);

std::string text_of(const std::filesystem::path& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

/// The names of log events and of time line events in the sources.
std::set<std::string> names_in_sources()
{
    const std::regex uses(
        R"re((?:log_(?:info|warning|error)\(|\brecord\([^,;]*,\s*|emit_record\{\s*\{[^"]*|event_record\{)\s*"([a-z_.]+)")re");
    std::set<std::string> names;
    for (const auto* package : {"request", "cluster", "adapters", "main"}) {
        for (const auto& item : std::filesystem::directory_iterator(source_folder / package)) {
            if (item.path().extension() != ".cpp") {
                continue;
            }
            const auto text = text_of(item.path());
            for (std::sregex_iterator at(text.begin(), text.end(), uses), end; at != end; ++at) {
                names.insert((*at)[1]);
            }
        }
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_CASE(every_log_line_and_event_is_documented)
{
    const auto names = names_in_sources();
    const auto page = text_of(source_folder / "docs/logs.md");
    BOOST_TEST(names.size() > 20U);
    for (const auto& name : names) {
        BOOST_TEST(page.find("`" + name + "`") != std::string::npos, "docs/logs.md lacks " << name);
    }
}
