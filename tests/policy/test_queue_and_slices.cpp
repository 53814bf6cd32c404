#include "policy/rate_limiter.h"
#include "policy/slice_tracker.h"
#include "policy/work_queue.h"

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

BOOST_AUTO_TEST_SUITE(a_tiered_queue)

BOOST_AUTO_TEST_CASE(serves_the_higher_tier_first_and_refuses_from_the_lowest)
{
    tiered_queue queue;
    queue.push(make_work(1, 4, "a", seconds(1)));
    queue.push(make_work(2, 0, "a", seconds(9)));
    queue.push(make_work(3, 4, "b", seconds(2)));
    BOOST_REQUIRE(queue.least_urgent() != nullptr);
    BOOST_TEST(queue.least_urgent()->id == 3U);
    BOOST_TEST(queue.pop(start)->id == 2U);
}

BOOST_AUTO_TEST_CASE(serves_work_that_can_meet_its_target_before_late_work)
{
    tiered_queue queue;
    queue.push(make_work(1, 0, "a", milliseconds(10)));
    queue.push(make_work(2, 0, "a", milliseconds(500)));
    BOOST_TEST(queue.pop(start + milliseconds(100))->id == 2U);
    BOOST_TEST(queue.pop(start + milliseconds(100))->id == 1U);
}

BOOST_AUTO_TEST_CASE(shares_by_weight_between_workspaces_as_tokens_are_produced)
{
    tiered_queue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 200; ++i) {
        auto heavy = make_work(++id, 0, "heavy", seconds(5));
        heavy.weight = 3;
        queue.push(heavy);
        queue.push(make_work(++id, 0, "light", seconds(5)));
    }
    int heavy_runs = 0;
    for (int i = 0; i < 100; ++i) {
        const auto work = queue.pop(start);
        heavy_runs += work->workspace == "heavy" ? 1 : 0;
        queue.charge(*work, 30);
    }
    BOOST_TEST(heavy_runs >= 73);
    BOOST_TEST(heavy_runs <= 77);
}

BOOST_AUTO_TEST_CASE(never_refuses_a_preempted_run)
{
    tiered_queue queue;
    auto paused = make_work(1, 4, "a", seconds(1));
    paused.preempted = true;
    queue.push(paused);
    BOOST_TEST(queue.least_urgent() == nullptr);
}

BOOST_AUTO_TEST_CASE(reports_a_class_that_approaches_its_starvation_bound_under_work_of_the_top_tier)
{
    tiered_queue queue;
    queue.push(make_work(1, 4, "a", seconds(1)));
    for (std::uint64_t id = 2; id < 50; ++id) {
        queue.push(make_work(id, 0, "a", seconds(1)));
        BOOST_TEST(queue.pop(start + milliseconds(40 * id))->tier == 0U);
    }
    BOOST_TEST(!queue.starving_class(start + seconds(2)).has_value());
    BOOST_REQUIRE(queue.starving_class(start + seconds(4)).has_value());
    BOOST_TEST(queue.pop_class(*queue.starving_class(start + seconds(4)), start + seconds(4))->id == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_slice_tracker)

BOOST_AUTO_TEST_CASE(preempts_the_lowest_tier_and_never_a_higher_one)
{
    slice_tracker tracker;
    tracker.begin({1, 0, 10, true, false});
    tracker.begin({2, 4, 10, true, false});
    tracker.begin({3, 2, 10, true, false});
    BOOST_TEST(tracker.victim(0).value_or(0) == 2U);
    tracker.end(2);
    tracker.end(3);
    BOOST_TEST(!tracker.victim(0).has_value());
    BOOST_TEST(!tracker.victim(4).has_value());
}

BOOST_AUTO_TEST_CASE(preempts_within_a_tier_only_past_the_quantum)
{
    slice_tracker tracker;
    tracker.begin({1, 2, 10, true, false});
    tracker.produced(1, 9);
    BOOST_TEST(!tracker.victim(2).has_value());
    tracker.produced(1, 1);
    BOOST_TEST(tracker.victim(2).value_or(0) == 1U);
    BOOST_TEST(!tracker.victim(3).has_value());
}

BOOST_AUTO_TEST_CASE(protects_the_slice_of_a_starving_class_until_its_quantum)
{
    slice_tracker tracker;
    tracker.begin({1, 4, 10, true, true});
    BOOST_TEST(!tracker.victim(0).has_value());
    BOOST_TEST(tracker.protected_count() == 1U);
    tracker.produced(1, 10);
    BOOST_TEST(tracker.victim(0).value_or(0) == 1U);
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
        // A demand of 750 requests per second moves to another entry every second; the others send 50 each.
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
                    to.soft_state_received(item, now);
                }
            }
        }
    }
    // Ten seconds at 100 requests per second, plus the burst that each entry may admit.
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
