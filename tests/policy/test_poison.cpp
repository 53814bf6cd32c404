#include "policy/poison.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

constexpr time_point start{seconds(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(a_poison_book)

BOOST_AUTO_TEST_CASE(quarantines_the_work_of_two_crashes_and_clears_the_bystander)
{
    poison_book book;
    book.crashed(std::vector<std::string>{"poison", "bystander"}, start);
    BOOST_TEST(book.is_suspect("bystander", start));
    book.ended_well("bystander", start);
    BOOST_TEST(!book.is_suspect("bystander", start));
    // Work that was never suspected is not blamed for a crash under a suspect.
    const auto spread = book.crashed(std::vector<std::string>{"poison", "newcomer"}, start);
    BOOST_TEST(spread.size() == 1U);
    BOOST_TEST(!book.is_suspect("newcomer", start));
    BOOST_TEST(book.is_quarantined("poison", start));
    BOOST_TEST(!book.is_quarantined("poison", start + std::chrono::minutes(10)));
}

BOOST_AUTO_TEST_CASE(learns_from_other_daemons_and_stays_bounded)
{
    poison_settings settings;
    settings.max_fingerprints = 2;
    poison_book here(settings);
    poison_book there(settings);
    for (const auto& item : there.crashed(std::vector<std::string>{"a", "b", "c"}, start)) {
        here.on_item(item, start);
    }
    BOOST_TEST(here.size() == 2U);
    BOOST_TEST(here.is_suspect("a", start));
    here.on_item(*there.ended_well("a", start), start);
    BOOST_TEST(!here.is_suspect("a", start));
    there.crashed(std::vector<std::string>{"d"}, start + std::chrono::minutes(10));
    BOOST_TEST(there.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
