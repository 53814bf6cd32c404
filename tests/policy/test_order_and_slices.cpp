#include "policy/rate_limiter.h"
#include "policy/slice_book.h"
#include "policy/work_order.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace clementinegap;

namespace {

constexpr time_point start{seconds(1000)};

queued_work make_work(std::uint64_t id, std::uint8_t tier, const std::string& workspace, duration target)
{
    queued_work work;
    work.id = id;
    work.tier = tier;
    work.workspace = workspace;
    work.class_name = "class-" + std::to_string(tier);
    work.arrived = start;
    work.target_at = start + target;
    work.deadline_at = start + seconds(60);
    work.starvation_bound = seconds(4);
    return work;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_tiered_order)

BOOST_AUTO_TEST_CASE(gives_the_higher_tier_first_and_refuses_from_the_lowest)
{
    tiered_order order;
    order.push(make_work(1, 4, "a", seconds(1)));
    order.push(make_work(2, 0, "a", seconds(9)));
    order.push(make_work(3, 4, "b", seconds(2)));
    BOOST_REQUIRE(order.last() != nullptr);
    BOOST_TEST(order.last()->id == 3U);
    BOOST_TEST(order.pop(start)->id == 2U);
}

BOOST_AUTO_TEST_CASE(gives_work_that_can_be_in_time_before_late_work)
{
    tiered_order order;
    order.push(make_work(1, 0, "a", milliseconds(10)));
    order.push(make_work(2, 0, "a", milliseconds(500)));
    BOOST_TEST(order.pop(start + milliseconds(100))->id == 2U);
    BOOST_TEST(order.pop(start + milliseconds(100))->id == 1U);
}

BOOST_AUTO_TEST_CASE(shares_by_weight_between_workspaces_as_tokens_are_produced)
{
    tiered_order order;
    std::uint64_t id = 0;
    for (int i = 0; i < 200; ++i) {
        auto heavy = make_work(++id, 0, "heavy", seconds(5));
        heavy.weight = 3;
        order.push(heavy);
        order.push(make_work(++id, 0, "light", seconds(5)));
    }
    int heavy_runs = 0;
    for (int i = 0; i < 100; ++i) {
        const auto work = order.pop(start);
        heavy_runs += work->workspace == "heavy" ? 1 : 0;
        order.charge(*work, 30);
    }
    BOOST_TEST(heavy_runs >= 73);
    BOOST_TEST(heavy_runs <= 77);
}

BOOST_AUTO_TEST_CASE(never_refuses_a_run_that_was_set_aside)
{
    tiered_order order;
    auto paused = make_work(1, 4, "a", seconds(1));
    paused.set_aside = true;
    order.push(paused);
    BOOST_TEST(order.last() == nullptr);
}

BOOST_AUTO_TEST_CASE(names_a_class_that_nears_its_bound_under_work_of_the_top_tier)
{
    tiered_order order;
    order.push(make_work(1, 4, "a", seconds(1)));
    for (std::uint64_t id = 2; id < 50; ++id) {
        order.push(make_work(id, 0, "a", seconds(1)));
        BOOST_TEST(order.pop(start + milliseconds(40 * id))->tier == 0U);
    }
    BOOST_TEST(!order.starving_class(start + seconds(2)).has_value());
    BOOST_REQUIRE(order.starving_class(start + seconds(4)).has_value());
    BOOST_TEST(order.pop_class(*order.starving_class(start + seconds(4)), start + seconds(4))->id == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_slice_book)

BOOST_AUTO_TEST_CASE(yields_the_lowest_tier_and_never_upwards)
{
    slice_book book;
    book.begin({1, 0, 10, true, false});
    book.begin({2, 4, 10, true, false});
    book.begin({3, 2, 10, true, false});
    BOOST_TEST(book.victim(0).value_or(0) == 2U);
    book.end(2);
    book.end(3);
    BOOST_TEST(!book.victim(0).has_value());
    BOOST_TEST(!book.victim(4).has_value());
}

BOOST_AUTO_TEST_CASE(yields_to_its_own_tier_only_past_the_quantum)
{
    slice_book book;
    book.begin({1, 2, 10, true, false});
    book.produced(1, 9);
    BOOST_TEST(!book.victim(2).has_value());
    book.produced(1, 1);
    BOOST_TEST(book.victim(2).value_or(0) == 1U);
    BOOST_TEST(!book.victim(3).has_value());
}

BOOST_AUTO_TEST_CASE(keeps_the_slice_of_a_starving_class_until_its_quantum_only)
{
    slice_book book;
    book.begin({1, 4, 10, true, true});
    BOOST_TEST(!book.victim(0).has_value());
    BOOST_TEST(book.protected_count() == 1U);
    book.produced(1, 10);
    BOOST_TEST(book.victim(0).value_or(0) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_divided_limit)

BOOST_AUTO_TEST_CASE(is_not_exceeded_by_the_entries_together_while_reports_arrive)
{
    constexpr int entries = 4;
    std::vector<rate_limiter> limiters;
    for (int i = 0; i < entries; ++i) {
        limiters.emplace_back("entry-" + std::to_string(i));
    }
    const rate_limiter::rate limit{100, 10};
    int admitted = 0;
    constexpr int settling = 3000;
    constexpr int length = 13000;
    for (int step = 0; step < length; ++step) {
        const auto now = start + milliseconds(step);
        // The demand of 400 a second changes its entry every second.
        auto& busy = limiters.at(static_cast<std::size_t>(step / 1000 % entries));
        for (auto& limiter : limiters) {
            const bool sends = &limiter == &busy ? step % 4 != 0 : step % 20 == 0;
            if (sends && !limiter.refuse("key", limit, now) && step >= settling) {
                ++admitted;
            }
        }
        for (auto& from : limiters) {
            for (auto& item : step % 500 == 0 ? from.reports_due(now) : std::vector<soft_state_item>()) {
                item.origin = "entry-" + std::to_string(&from - limiters.data());
                for (auto& to : limiters) {
                    to.item_seen(item, now);
                }
            }
        }
    }
    // Ten seconds at 100 a second, and the burst that each entry may let pass.
    BOOST_TEST(admitted <= 1000 + entries * 10);
    BOOST_TEST(admitted >= 300);
}

BOOST_AUTO_TEST_CASE(keeps_a_bounded_number_of_buckets)
{
    rate_limiter limiter("entry-1", 8);
    for (int i = 0; i < 100; ++i) {
        limiter.refuse("key-" + std::to_string(i), {1, 1}, start);
    }
    BOOST_TEST(limiter.size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
