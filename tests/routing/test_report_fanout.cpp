#include "routing/report_fanout.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace clementinegap;

namespace {

constexpr time_point start{seconds(1000)};

/// Three zones of four daemons each, from the view of `a0`.
struct three_zones {
    three_zones()
    {
        std::vector<std::string> others;
        for (const char zone : {'a', 'b', 'c'}) {
            for (int i = 0; i < 4; ++i) {
                others.push_back(std::string(1, zone) + std::to_string(i));
            }
        }
        std::erase(others, "a0");
        fanout.set_peers(others);
    }
    void report_all(time_point now)
    {
        for (const char zone : {'a', 'b', 'c'}) {
            for (int i = 0; i < 4; ++i) {
                fanout.on_report(std::string(1, zone) + std::to_string(i), static_cast<std::uint32_t>(zone),
                                 seconds(2), now);
            }
        }
    }
    static std::size_t count(const std::vector<report_fanout::target>& targets, char zone)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(targets, [&](const auto& each) { return each.daemon.front() == zone; }));
    }

    report_fanout fanout{'a'};
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_fanout_of_reports)

BOOST_FIXTURE_TEST_CASE(reaches_all_directly_until_their_zones_are_known, three_zones)
{
    const auto targets = fanout.next(start);
    BOOST_TEST(targets.size() == 11U);
    BOOST_TEST(std::ranges::none_of(targets, &report_fanout::target::forwards));
}

BOOST_FIXTURE_TEST_CASE(crosses_to_each_other_zone_once, three_zones)
{
    report_all(start);
    const auto targets = fanout.next(start);
    BOOST_TEST(count(targets, 'a') == 3U);
    BOOST_TEST(count(targets, 'b') == 1U);
    BOOST_TEST(count(targets, 'c') == 1U);
    for (const auto& each : targets) {
        BOOST_TEST(each.forwards == (each.daemon.front() != 'a'));
    }
}

BOOST_FIXTURE_TEST_CASE(rotates_among_the_daemons_of_a_zone, three_zones)
{
    report_all(start);
    std::set<std::string> used;
    for (int i = 0; i < 4; ++i) {
        for (const auto& each : fanout.next(start)) {
            used.insert(each.daemon);
        }
    }
    BOOST_TEST(used.size() == 11U);
}

BOOST_FIXTURE_TEST_CASE(does_not_rely_on_a_daemon_without_recent_reports, three_zones)
{
    report_all(start);
    const auto later = start + seconds(3);
    for (const auto* each : {"b1", "b2", "b3", "c0", "c1", "c2", "c3"}) {
        fanout.on_report(each, static_cast<std::uint32_t>(each[0]), seconds(2), later);
    }
    for (int i = 0; i < 6; ++i) {
        const auto targets = fanout.next(later);
        // The daemon without reports may be starting: it receives reports directly and forwards none.
        BOOST_TEST(count(targets, 'b') == 2U);
        BOOST_TEST(std::ranges::count(targets, report_fanout::target{"b0", false}) == 1);
    }
}

BOOST_FIXTURE_TEST_CASE(is_forwarded_within_the_zone_but_not_back, three_zones)
{
    report_all(start);
    BOOST_TEST((fanout.within_zone("b1") == std::vector<std::string>{"a1", "a2", "a3"}));
    BOOST_TEST((fanout.within_zone("a2") == std::vector<std::string>{"a1", "a3"}));
}

BOOST_FIXTURE_TEST_CASE(drops_daemons_that_are_no_longer_registered, three_zones)
{
    report_all(start);
    fanout.set_peers({"b1"});
    BOOST_TEST((fanout.next(start) == std::vector<report_fanout::target>{{"b1", false}}));
    fanout.on_report("z9", 7, seconds(2), start);
    BOOST_TEST(fanout.next(start).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
