#include "cluster/fake_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

constexpr int schedules = 1000;
constexpr duration in_force_bound = seconds(6);

std::string vm_name(int number)
{
    return "vm-" + std::string(number < 10 ? "0" : "") + std::to_string(number);
}

/// A cluster over two regions of two zones each.
struct deployment : fake_cluster {
    deployment(std::uint64_t seed, int size) : fake_cluster(seed)
    {
        for (int i = 0; i < size; ++i) {
            add(vm_name(i), i % 2 == 0 ? "east" : "west", "zone-" + std::to_string(i % 4));
        }
    }
};

/// One random fault or change.
void inject_fault(fake_cluster& cluster, std::mt19937_64& random, int size)
{
    const auto vm = vm_name(static_cast<int>(random() % static_cast<unsigned>(size)));
    const auto alive = cluster.running();
    const bool is_running = std::ranges::find(alive, vm) != alive.end();
    switch (random() % 8) {
    case 0:
    case 1:
        cluster.submit();
        break;
    case 2:
        cluster.set_outage(random() % 2 == 0);
        break;
    case 3:
        cluster.partition({vm_name(0), vm_name(2), vm});
        break;
    case 4:
        cluster.heal();
        break;
    case 5:
        cluster.set_loss(random() % 2 == 0 ? 0.2 : 0);
        break;
    default:
        if (is_running && alive.size() > 2) {
            cluster.crash(vm);
        } else if (!is_running) {
            cluster.start(vm);
        }
        break;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_cluster)

BOOST_AUTO_TEST_SUITE(while_nothing_fails)

BOOST_AUTO_TEST_CASE(all_daemons_find_each_other_and_a_submission_is_in_force_everywhere_in_a_second)
{
    deployment cluster(1, 24);
    cluster.run_for(seconds(5));
    BOOST_TEST(cluster.members_agree());
    cluster.submit();
    cluster.run_for(seconds(1));
    BOOST_TEST(cluster.in_force_everywhere());
}

BOOST_AUTO_TEST_CASE(the_fleets_reads_do_not_grow_with_its_size)
{
    std::map<int, std::uint64_t> reads;
    for (const int size : {16, 64}) {
        deployment cluster(2, size);
        cluster.submit();
        cluster.run_for(seconds(20));
        const auto before = cluster.reads();
        cluster.run_for(seconds(20));
        reads[size] = cluster.reads() - before;
        BOOST_TEST(reads[size] <= 20U * 45U);
    }
    BOOST_TEST(static_cast<double>(reads[64]) <= 1.2 * static_cast<double>(reads[16]));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_faults)

BOOST_AUTO_TEST_CASE(a_submission_reaches_all_though_the_store_goes_down_as_soon_as_one_daemon_has_it)
{
    deployment cluster(3, 24);
    cluster.submit();
    cluster.run_for(seconds(5));
    cluster.submit();
    const auto accepted = cluster.now();
    while (cluster.version_of(vm_name(0)) != 2 && cluster.version_of(vm_name(7)) != 2) {
        cluster.run_for(milliseconds(1));
    }
    cluster.set_outage(true);
    cluster.run_for(in_force_bound - (cluster.now() - accepted));
    BOOST_TEST(cluster.in_force_everywhere());
}

BOOST_AUTO_TEST_CASE(a_daemon_starts_from_its_neighbours_while_the_store_is_down)
{
    deployment cluster(4, 12);
    cluster.submit();
    cluster.run_for(seconds(5));
    cluster.crash(vm_name(5));
    cluster.run_for(seconds(1));
    cluster.set_outage(true);
    cluster.start(vm_name(5));
    cluster.run_for(seconds(4));
    BOOST_TEST(cluster.version_of(vm_name(5)) == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_partitioned_region_applies_the_newer_configuration_after_healing_and_no_daemon_goes_back)
{
    deployment cluster(5, 16);
    cluster.submit();
    cluster.run_for(seconds(5));
    std::set<std::string> west;
    for (int i = 1; i < 16; i += 2) {
        west.insert(vm_name(i));
    }
    cluster.partition(west);
    cluster.run_for(std::chrono::minutes(3));
    cluster.submit();
    cluster.run_for(seconds(5));
    cluster.heal();
    cluster.run_for(seconds(20));
    BOOST_TEST(cluster.members_agree());
    BOOST_TEST(cluster.in_force_everywhere());
    BOOST_TEST(cluster.version_regressions() == 0U);
}

BOOST_AUTO_TEST_CASE(a_thousand_schedules_of_loss_partition_restart_and_outage_never_go_back_and_converge)
{
    constexpr int size = 6;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        deployment cluster(seed, size);
        std::mt19937_64 random(seed);
        cluster.submit();
        for (int i = 0; i < 12; ++i) {
            inject_fault(cluster, random, size);
            cluster.run_for(milliseconds(random() % 2500));
        }
        cluster.heal();
        cluster.set_loss(0);
        cluster.set_outage(false);
        cluster.run_for(seconds(2));
        const auto version = cluster.version();
        cluster.run_for(seconds(18));
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_REQUIRE(cluster.version() == version);
            BOOST_REQUIRE(cluster.in_force_everywhere());
            BOOST_REQUIRE(cluster.members_agree());
            BOOST_REQUIRE(cluster.version_regressions() == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_vms_join_and_leave)

BOOST_AUTO_TEST_CASE(a_leaving_vm_is_known_as_such_everywhere_within_three_seconds_whatever_the_list_says)
{
    deployment cluster(6, 24);
    cluster.run_for(seconds(5));
    cluster.leave(vm_name(9));
    cluster.run_for(seconds(1));
    for (const auto& vm : cluster.running()) {
        BOOST_TEST(cluster.core(vm).members().find(vm_name(9))->leaving, vm);
    }
}

BOOST_AUTO_TEST_CASE(a_mark_of_the_platforms_list_reaches_all_through_the_one_daemon_that_read_it)
{
    deployment cluster(7, 24);
    cluster.run_for(seconds(5));
    cluster.list(vm_name(3), true);
    cluster.run_for(seconds(3));
    for (const auto& vm : cluster.running()) {
        BOOST_TEST(cluster.core(vm).members().find(vm_name(3))->leaving, vm);
    }
}

BOOST_AUTO_TEST_CASE(a_replaced_vm_is_used_again_although_the_list_still_marks_its_predecessor)
{
    deployment cluster(8, 12);
    cluster.run_for(seconds(5));
    cluster.list(vm_name(3), true);
    cluster.run_for(seconds(5));
    cluster.crash(vm_name(3));
    cluster.run_for(seconds(2));
    cluster.start(vm_name(3));
    cluster.run_for(seconds(30));
    cluster.list(vm_name(3), false);
    cluster.run_for(seconds(5));
    BOOST_TEST(cluster.members_agree());
}

BOOST_AUTO_TEST_CASE(a_mass_replacement_of_all_but_two_is_followed)
{
    deployment cluster(9, 30);
    cluster.submit();
    cluster.run_for(seconds(5));
    for (int i = 2; i < 30; ++i) {
        cluster.crash(vm_name(i));
        cluster.run_for(milliseconds(500));
        cluster.start(vm_name(i));
        cluster.run_for(milliseconds(500));
    }
    cluster.run_for(seconds(10));
    BOOST_TEST(cluster.members_agree());
    BOOST_TEST(cluster.in_force_everywhere());
}

BOOST_AUTO_TEST_CASE(a_crashed_vm_is_known_to_be_dead_everywhere)
{
    deployment cluster(10, 24);
    cluster.run_for(seconds(5));
    cluster.crash(vm_name(11));
    cluster.run_for(seconds(12));
    BOOST_TEST(cluster.members_agree());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
