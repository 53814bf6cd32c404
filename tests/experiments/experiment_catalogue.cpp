#include "experiments/experiment_catalogue.h"

namespace clementinegap {
namespace {

request_class make_class(std::string name, int tier, repeat_rule repeat, duration first_token,
                         duration deadline)
{
    request_class result;
    result.name = std::move(name);
    result.tier = tier;
    result.repeat = repeat;
    result.key_required = repeat == repeat_rule::never;
    result.model = "assistant";
    result.first_token_target = first_token;
    result.deadline = deadline;
    return result;
}

void add_workspaces(experiment& about)
{
    about.workspaces = {{"large-a", 5}, {"large-b", 4}};
    for (int i = 1; i <= 8; ++i) {
        about.workspaces.push_back({"small-" + std::to_string(i), 1});
    }
}

/// The limits that keep a burst from becoming everybody's: a multiple of the ordinary load.
void limit_all(experiment& about)
{
    constexpr double limit = 3;
    for (auto& load : about.classes) {
        load.limit = limit;
    }
}

experiment named(experiment about, std::string name)
{
    about.name = std::move(name);
    return about;
}

} // namespace

experiment lanyu()
{
    experiment about;
    about.seed = 20261204;
    add_workspaces(about);
    // Demand 1 is 2,900 tokens a second of 4,800.
    about.classes = {
        {make_class("guide", 0, repeat_rule::repeatable, milliseconds(330), seconds(20)), 25, 35, 0.5, 200},
        {make_class("question", 1, repeat_rule::repeatable, milliseconds(500), seconds(20)), 25, 25, 0.6,
         200},
        {make_class("booking", 1, repeat_rule::never, milliseconds(500), seconds(10)), 5, 10, 0.3, 40},
        {make_class("draft", 3, repeat_rule::repeatable, seconds(5), seconds(60)), 2.5, 250, 0.9, 1500}};
    return about;
}

experiment cartago()
{
    auto about = lanyu();
    about.entries = 3;
    about.zones = 3;
    about.classes = {
        {make_class("counter", 0, repeat_rule::repeatable, milliseconds(330), seconds(20)), 30, 30, 0.5, 200},
        {make_class("lookup", 1, repeat_rule::idempotent, milliseconds(200), seconds(5)), 30, 5, 0.3, 20},
        {make_class("note", 2, repeat_rule::never, milliseconds(800), seconds(20)), 8, 25, 0.5, 100},
        {make_class("dossier", 4, repeat_rule::repeatable, seconds(10), seconds(60)), 2, 400, 0.9, 2000}};
    return about;
}

experiment calm()
{
    return named(lanyu(), "calm");
}

experiment crest()
{
    auto about = named(lanyu(), "crest");
    // Total demand of 3 x capacity for seconds at a time, while the top tier alone stays below it.
    about.load_of("guide").requests_per_second = 30;
    const duration crests[][2] = {{seconds(2), seconds(5)}, {seconds(7), seconds(11)}};
    for (const auto& crest : crests) {
        about.swings.push_back({crest[0], crest[1], 2, "guide", ""});
        about.swings.push_back({crest[0], crest[1], 9, "question", ""});
        about.swings.push_back({crest[0], crest[1], 5, "booking", ""});
        about.swings.push_back({crest[0], crest[1], 5, "draft", ""});
    }
    about.window_from = seconds(8);
    about.window_to = seconds(11);
    return about;
}

experiment one_class_bursts()
{
    auto about = named(lanyu(), "one_class_bursts");
    limit_all(about);
    about.swings = {{seconds(3), seconds(6), 12, "question", ""},
                    {seconds(8), seconds(10), 12, "question", ""}};
    return about;
}

experiment one_workspace_bursts()
{
    auto about = named(lanyu(), "one_workspace_bursts");
    limit_all(about);
    about.swings = {{seconds(3), seconds(6), 30, "", "small-1"},
                    {seconds(8), seconds(10), 30, "", "small-1"}};
    return about;
}

experiment long_among_short()
{
    auto about = named(cartago(), "long_among_short");
    // Dossiers of several thousand tokens hold every slot unless they yield.
    auto& dossier = about.load_of("dossier");
    dossier.requests_per_second = 3;
    dossier.median_tokens = 600;
    dossier.rules.deadline = seconds(120);
    about.settle_time = seconds(110);
    about.swings = {{seconds(0), seconds(2), 24, "dossier", ""}};
    about.window_from = seconds(2);
    about.window_to = seconds(10);
    return about;
}

experiment slowed_upstreams()
{
    auto about = named(cartago(), "slowed_upstreams");
    about.faults = {{seconds(3), fault_kind::slow, "upstream-0", 10},
                    {seconds(3), fault_kind::slow, "upstream-1", 10}};
    about.measured_from = seconds(5);
    return about;
}

experiment upstream_crashes()
{
    auto about = named(cartago(), "upstream_crashes");
    for (int i = 0; i < 4; ++i) {
        const auto vm = "upstream-" + std::to_string(3 * i);
        about.faults.push_back({seconds(2 + 2 * i), fault_kind::crash, vm, 1});
        about.faults.push_back({seconds(4 + 2 * i), fault_kind::restart, vm, 1});
    }
    return about;
}

experiment poisoned_request()
{
    auto about = named(cartago(), "poisoned_request");
    about.poison = "crashes-the-engine";
    return about;
}

experiment store_down()
{
    auto about = named(lanyu(), "store_down");
    about.faults = {{seconds(4), fault_kind::store_outage, "", 1},
                    {seconds(8), fault_kind::store_outage, "", 0}};
    return about;
}

experiment rolling_replacement()
{
    auto about = named(lanyu(), "rolling_replacement");
    for (int i = 0; i < about.upstreams; ++i) {
        const auto vm = "upstream-" + std::to_string(i);
        // A drain, then the VM goes with whatever it still holds and comes back.
        about.faults.push_back({milliseconds(1000 + 800 * i), fault_kind::drain, vm, 1});
        about.faults.push_back({milliseconds(21000 + 800 * i), fault_kind::restart, vm, 1});
    }
    // Half of them at a time, so that capacity stays above demand.
    about.faults.resize(about.faults.size() / 3);
    return about;
}

experiment top_tier_overload()
{
    auto about = named(cartago(), "top_tier_overload");
    about.length = seconds(15);
    about.load_of("counter").requests_per_second = 200;
    for (auto& load : about.classes) {
        load.rules.starvation_bound = seconds(4);
    }
    about.window_from = seconds(3);
    return about;
}

std::vector<experiment> all_experiments()
{
    return {calm(),
            crest(),
            one_class_bursts(),
            one_workspace_bursts(),
            long_among_short(),
            slowed_upstreams(),
            upstream_crashes(),
            poisoned_request(),
            store_down(),
            rolling_replacement(),
            top_tier_overload()};
}

} // namespace clementinegap
