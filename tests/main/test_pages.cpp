#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

namespace {

const std::filesystem::path root(CG_SOURCE_DIR);

std::string text_of(const std::filesystem::path& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

std::vector<std::filesystem::path> pages()
{
    std::vector<std::filesystem::path> result{root / "README.md", root / "CONTRIBUTING.md"};
    for (const auto& item : std::filesystem::recursive_directory_iterator(root / "docs")) {
        if (item.path().extension() == ".md") {
            result.push_back(item.path());
        }
    }
    return result;
}

std::vector<std::string> matches(const std::string& text, const std::regex& pattern)
{
    std::vector<std::string> result;
    for (std::sregex_iterator at(text.begin(), text.end(), pattern), end; at != end; ++at) {
        result.push_back((*at)[1]);
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_pages)

BOOST_AUTO_TEST_CASE(link_to_pages_that_exist)
{
    const std::regex link(R"(\]\(([^)#:\s]+)(?:#[^)]*)?\))");
    for (const auto& page : pages()) {
        for (const auto& target : matches(text_of(page), link)) {
            BOOST_TEST(std::filesystem::exists(page.parent_path() / target), page << " links to " << target);
        }
    }
}

BOOST_AUTO_TEST_CASE(describe_every_setting)
{
    const auto reference = text_of(root / "docs/operators/settings.md");
    const auto source = text_of(root / "main/settings.cpp");
    const auto names = matches(
        source,
        std::regex(
            R"re((?:reader\.(?:string|strings|integer|boolean|choice)\(|read_(?:ms|size|required_text)\(reader, )"([a-z_]+)")re"));
    BOOST_TEST(names.size() > 25U);
    for (const auto& name : names) {
        const bool described = reference.find("`" + name + "`") != std::string::npos ||
                               reference.find("." + name + "`") != std::string::npos;
        BOOST_TEST(described, "docs/operators/settings.md lacks " << name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
