#include "policy/poison.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

constexpr time_point start{seconds(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(a_poison_tracker)

BOOST_AUTO_TEST_CASE(quarantines_a_request_after_two_crashes_and_clears_a_request_that_succeeds)
{
    poison_tracker tracker;
    tracker.on_crash(std::vector<std::string>{"poison", "bystander"}, start);
    BOOST_TEST(tracker.is_suspect("bystander", start));
    tracker.on_success("bystander", start);
    BOOST_TEST(!tracker.is_suspect("bystander", start));
    // A crash while a suspect runs does not make other requests suspects.
    const auto items = tracker.on_crash(std::vector<std::string>{"poison", "newcomer"}, start);
    BOOST_TEST(items.size() == 1U);
    BOOST_TEST(!tracker.is_suspect("newcomer", start));
    BOOST_TEST(tracker.is_quarantined("poison", start));
    BOOST_TEST(!tracker.is_quarantined("poison", start + std::chrono::minutes(10)));
}

BOOST_AUTO_TEST_CASE(applies_items_of_other_daemons_and_stays_bounded)
{
    poison_settings settings;
    settings.max_fingerprints = 2;
    poison_tracker here(settings);
    poison_tracker there(settings);
    for (const auto& item : there.on_crash(std::vector<std::string>{"a", "b", "c"}, start)) {
        here.soft_state_received(item, start);
    }
    BOOST_TEST(here.size() == 2U);
    BOOST_TEST(here.is_suspect("a", start));
    here.soft_state_received(*there.on_success("a", start), start);
    BOOST_TEST(!here.is_suspect("a", start));
    there.on_crash(std::vector<std::string>{"d"}, start + std::chrono::minutes(10));
    BOOST_TEST(there.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
