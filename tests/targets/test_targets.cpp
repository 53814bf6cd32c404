#include "experiments/experiment_catalogue.h"
#include "experiments/experiment_run.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>

using namespace clementinegap;

namespace {

/// Targets that are missed for a real fault; each has an entry in KNOWN-RED.txt.
constexpr std::array<std::string_view, 0> known_red{};

/// Checks a target, or prints it when it is known to be missed. A known one that is met must leave the list.
void check_target(std::string_view name, bool met, double seen)
{
    const bool known = std::ranges::find(known_red, name) != known_red.end();
    if (known) {
        std::cout << "known red: " << name << ", seen " << seen << '\n';
        BOOST_CHECK_MESSAGE(!met, name << " is met now: take it off the list");
        return;
    }
    BOOST_CHECK_MESSAGE(met, name << ": seen " << seen);
}

/// Runs an experiment of the catalogue once for all its checks; the same seed gives the same measures.
const experiment_measures& run(const experiment& about, decision_variant variant = decision_variant::product)
{
    static std::map<std::pair<std::string, decision_variant>, experiment_measures> done;
    const std::pair key(about.name, variant);
    if (const auto found = done.find(key); found != done.end()) {
        return found->second;
    }
    return done.emplace(key, run_experiment(about, variant)).first->second;
}

double milliseconds_of(duration value)
{
    return static_cast<double>(value.count()) / 1000;
}

/// The same experiment without the load of one class; the other classes' arrivals stay as they are.
experiment without(experiment about, const std::string& class_name)
{
    about.name += " without " + class_name;
    about.load_of(class_name).requests_per_second = 0;
    return about;
}

experiment without_swings(experiment about)
{
    about.name += " without swings";
    about.swings.clear();
    return about;
}

experiment scaled(experiment about, double factor)
{
    if (factor != 1) {
        about.name += " x " + std::to_string(factor);
    }
    for (auto& swing : about.swings) {
        swing.factor *= swing.class_name == "guide" ? 1 : factor;
    }
    return about;
}

/// Slot time that a class needs per second of the load, as a share of all slots.
double use_of(const experiment& about, const std::string& class_name)
{
    double spent = 0;
    for (const auto& item : arrivals_of(about)) {
        if (about.classes[item.class_index].rules.name == class_name) {
            spent +=
                std::chrono::duration<double>(about.prefill + item.tokens * about.token_interval).count();
        }
    }
    return spent / std::chrono::duration<double>(about.length).count() / (about.upstreams * about.slots);
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_targets)

BOOST_AUTO_TEST_SUITE(at_the_crest)

BOOST_AUTO_TEST_CASE(the_top_tier_attains_99_percent)
{
    const double seen = run(crest()).classes.at("guide").attainment();
    check_target("crest: guide attainment at least 0.99", seen >= 0.99, seen);
}

BOOST_AUTO_TEST_CASE(goodput_stays_at_95_percent_and_does_not_fall_as_demand_grows)
{
    double before = 0;
    for (const double factor : {0.5, 1.0, 2.0}) {
        const double seen = run(scaled(crest(), factor)).engine_use;
        const auto name = "crest: goodput at least 0.95 at demand x " + std::to_string(factor);
        check_target(name, seen >= 0.95, seen);
        check_target("crest: goodput never falls, at demand x " + std::to_string(factor),
                     seen >= before - 0.005, seen - before);
        before = seen;
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_long_work_among_short)

BOOST_AUTO_TEST_CASE(short_work_hardly_notices)
{
    const auto with = run(long_among_short());
    const auto alone = run(without(long_among_short(), "dossier"));
    for (const auto* name : {"counter", "lookup", "note"}) {
        const auto seen = milliseconds_of(with.classes.at(name).percentile(0.99));
        const auto base = milliseconds_of(alone.classes.at(name).percentile(0.99));
        check_target("long_among_short: p99 at most 1.2 x, " + std::string(name), seen <= 1.2 * base,
                     seen / base);
    }
}

BOOST_AUTO_TEST_CASE(long_work_all_finishes_with_the_throughput_left_over)
{
    const auto about = long_among_short();
    const auto measured = run(about);
    const auto& dossiers = measured.classes.at("dossier");
    check_target("long_among_short: every dossier finishes", dossiers.succeeded == dossiers.sent,
                 dossiers.sent - dossiers.succeeded);
    const double taken = use_of(about, "counter") + use_of(about, "lookup") + use_of(about, "note");
    const double seen = (measured.engine_use - taken) / (1 - taken);
    check_target("long_among_short: 0.9 of the throughput left over", seen >= 0.9, seen);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_slowed_upstreams)

BOOST_AUTO_TEST_CASE(counter_work_is_at_most_half_slower_from_two_seconds_on)
{
    auto even = slowed_upstreams();
    even.name += " without faults";
    even.faults.clear();
    const auto seen = milliseconds_of(run(slowed_upstreams()).classes.at("counter").percentile(0.99));
    const auto base = milliseconds_of(run(even).classes.at("counter").percentile(0.99));
    check_target("slowed_upstreams: counter p99 at most 1.5 x", seen <= 1.5 * base, seen / base);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_burst)

BOOST_AUTO_TEST_CASE(of_one_class_the_others_lose_at_most_a_point)
{
    const auto burst = run(one_class_bursts());
    const auto even = run(without_swings(one_class_bursts()));
    for (const auto* name : {"guide", "booking", "draft"}) {
        const double lost = even.classes.at(name).attainment() - burst.classes.at(name).attainment();
        check_target("one_class_bursts: at most a point lost, " + std::string(name), lost <= 0.01, lost);
    }
}

BOOST_AUTO_TEST_CASE(of_one_workspace_the_others_lose_at_most_a_point)
{
    const auto burst = run(one_workspace_bursts());
    const auto even = run(without_swings(one_workspace_bursts()));
    for (const auto& [name, seen] : burst.classes) {
        const double lost =
            even.classes.at(name).attainment_without("small-1") - seen.attainment_without("small-1");
        check_target("one_workspace_bursts: at most a point lost, " + name, lost <= 0.01, lost);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_lasting_overload_of_the_top_tier)

BOOST_AUTO_TEST_CASE(the_lowest_class_is_served_within_its_bound)
{
    const auto about = top_tier_overload();
    const auto longest = run(about).classes.at("dossier").longest_unserved;
    const auto bound = about.classes.back().rules.starvation_bound;
    check_target("top_tier_overload: dossiers served within their bound", longest <= bound,
                 milliseconds_of(longest));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_every_experiment)

BOOST_AUTO_TEST_CASE(at_most_2_percent_of_the_work_is_wasted)
{
    for (const auto& about : all_experiments()) {
        const double seen = run(about).wasted();
        check_target("wasted work at most 0.02, " + about.name, seen <= 0.02, seen);
    }
}

BOOST_AUTO_TEST_CASE(every_request_is_answered)
{
    for (const auto& about : all_experiments()) {
        int open = 0;
        for (const auto& [name, seen] : run(about).classes) {
            open += seen.unanswered;
        }
        check_target("every request answered, " + about.name, open == 0, open);
    }
}

BOOST_AUTO_TEST_CASE(the_top_tier_does_no_worse_than_under_the_naive_variant)
{
    for (const auto& about : all_experiments()) {
        const auto& top = about.classes.front().rules.name;
        const double product = run(about).classes.at(top).attainment_without("small-1");
        const double naive =
            run(about, decision_variant::naive).classes.at(top).attainment_without("small-1");
        check_target("top tier at least as naive, " + about.name, product >= naive, product - naive);
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
