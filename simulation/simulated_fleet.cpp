#include "simulation/simulated_fleet.h"

#include "routing/scaled_duration.h"

#include <algorithm>
#include <set>
#include <utility>

namespace clementinegap {
namespace {

constexpr time_point run_begins{seconds(1000)};
/// Traffic begins once the routers have told each other of themselves.
constexpr duration settling = seconds(1);
constexpr duration within_zone = microseconds(100);
/// Before the first part of a copy comes.
constexpr duration copy_setup = microseconds(5300);
/// A lost process is missed in the directory after its upstream's silence.
constexpr duration lapse = milliseconds(3600);
/// Time that callers are still answered after the last call.
constexpr duration run_out = seconds(20);
/// Of a caller that was told no time.
constexpr duration usual_return = seconds(1);

std::string zone_name(std::size_t index)
{
    return "zone-" + std::to_string(index + 1);
}

/// Its API key too.
std::string workspace_name(std::size_t index)
{
    return "workspace-" + std::to_string(index + 1);
}

} // namespace

simulated_fleet::simulated_fleet(const simulation_plan& plan, const tried_placement& placement,
                                 std::uint64_t seed)
    : plan_(plan), seed_(seed), placement_name_(placement.name), calls_(calls_of(plan, seed)),
      ledger_(plan_, calls_), random_(seed), start_(run_begins + settling), now_(run_begins)
{
    add_routers(placement, seed);
    add_engines();
}

void simulated_fleet::add_routers(const tried_placement& placement, std::uint64_t seed)
{
    for (std::size_t i = 0; i < plan_.routers; ++i) {
        router_settings settings;
        settings.daemon = "router-" + std::to_string(i + 1);
        settings.zone = zone_name(i % plan_.zones);
        settings.incarnation = seed + 1;
        settings.retries = {0.2, 56, seconds(10)};
        settings.placement = placement.rule;
        router_node node;
        node.zone = settings.zone;
        node.router = std::make_unique<request_router>(std::move(settings));
        routers_.push_back(std::move(node));
    }
}

void simulated_fleet::add_engines()
{
    for (std::size_t i = 0; i < plan_.engines; ++i) {
        engine_node node;
        node.model = std::make_unique<engine_model>(plan_.engine);
        node.record.id = "engine-" + std::to_string(i + 1);
        node.record.service = "engines";
        node.record.address = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
        node.record.zone = zone_name(i % plan_.zones);
        node.record.slots = plan_.engine.slots;
        node.record.incarnation = 1;
        engines_.push_back(std::move(node));
    }
}

std::shared_ptr<const route_table> simulated_fleet::table() const
{
    auto result = std::make_shared<route_table>(1);
    for (const auto& kind : plan_.kinds) {
        route way;
        way.name = kind.name;
        way.host = "simulated";
        way.prefix = "/" + kind.name + "/";
        way.targets = {{"engines", 1}};
        way.repeat = kind.resumable ? repeat_rule::resumable : repeat_rule::once;
        way.is_stream = true;
        way.is_public = plan_.workspace_priorities.empty();
        way.timeout = kind.deadline;
        way.objective = kind.objective;
        way.max_gap = kind.max_gap;
        way.priority = kind.priority;
        way.max_upstreams = kind.resumable ? 2 : 1;
        result->add_route(std::move(way));
    }
    for (std::size_t i = 0; i < plan_.workspace_priorities.size(); ++i) {
        result->add_workspace({workspace_name(i), plan_.workspace_priorities[i]}, {workspace_name(i)});
    }
    service engines;
    engines.name = "engines";
    engines.engine = engine_traits{plan_.engine.slots, plan_.engine.memory_tokens,
                                   plan_.engine.tokens_per_event, plan_.engine.copied_tokens_per_ms};
    result->add_service(std::move(engines));
    return result;
}

void simulated_fleet::at(time_point when, std::function<void()> action)
{
    timers_.schedule(when, [run = std::move(action)](time_point) { run(); });
}

request_priority simulated_fleet::priority_of(const simulated_call& call) const
{
    const auto of_route = plan_.kinds[call.kind].priority;
    return {plan_.workspace_priorities.empty() ? of_route : plan_.workspace_priorities[call.workspace],
            of_route};
}

duration simulated_fleet::latency(std::size_t router, std::size_t engine) const
{
    return routers_[router].zone == engines_[engine].record.zone ? within_zone : plan_.between_zones;
}

simulation_result simulated_fleet::run()
{
    const auto rules = table();
    directory_listed listing;
    for (const auto& engine : engines_) {
        listing.records.push_back(engine.record);
    }
    for (std::size_t i = 0; i < routers_.size(); ++i) {
        give(i, configuration_received{rules});
        give(i, listing);
        give(i, fleet_size_known{routers_.size()});
        const auto stagger =
            plan_.report_interval * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(routers_.size());
        at(now_ + stagger, [this, i] { send_reports(i); });
    }
    for (std::size_t call = 0; call < calls_.size(); ++call) {
        at(start_ + calls_[call].at, [this, call] { start_call(call, calls_[call].router, false); });
    }
    for (const auto& outage : plan_.outages) {
        at(start_ + outage.at, [this, &outage] { begin_outage(outage); });
    }
    const auto ends = start_ + plan_.run + run_out;
    while (timers_.next_due() < ends) {
        now_ = std::max(now_, timers_.next_due());
        timers_.run_due(now_);
    }
    simulation_result result;
    result.placement = placement_name_;
    result.seed = seed_;
    result.kinds = ledger_.results();
    std::uint64_t shared_read = 0;
    const auto count = [&](const engine_model& model) {
        result.tokens_read += model.tokens_read();
        result.preemptions += model.preemptions();
        result.inverted_preemptions += model.inverted_preemptions();
        shared_read += model.shared_tokens_read();
    };
    for (const auto& engine : engines_) {
        count(*engine.model);
    }
    for (const auto& model : retired_) {
        count(*model);
    }
    std::set<std::uint64_t> seen;
    std::uint64_t needed = 0;
    for (const auto& call : calls_) {
        for (std::size_t i = 0; i + 1 < call.prompt.parts.size(); ++i) {
            needed += seen.insert(call.prompt.parts[i].id).second ? call.prompt.parts[i].tokens : 0;
        }
    }
    result.tokens_reread = shared_read - std::min(shared_read, needed);
    return result;
}

// --- Callers

void simulated_fleet::start_call(std::size_t call, std::size_t router, bool returning)
{
    const auto& about = calls_[call];
    const auto& kind = plan_.kinds[about.kind];
    const auto arrives = now_ + plan_.to_callers;
    const auto left = start_ + about.at + kind.deadline - arrives;
    if (left <= duration::zero()) {
        return;
    }
    if (returning) {
        ledger_.returned(call);
    }
    const auto number = ++last_request_;
    attempts_[number] = {call, router, 0, 0, 0};
    at(arrives, [this, number, call, router, left, returning] {
        const auto& what = calls_[call];
        request_arrived event;
        event.request = number;
        event.id = std::to_string(call) + (returning ? "-2" : "-1");
        event.host = "simulated";
        event.path = "/" + plan_.kinds[what.kind].name + "/";
        event.api_key = plan_.workspace_priorities.empty() ? "" : workspace_name(what.workspace);
        event.deadline = left;
        event.body_hash = call + 1;
        event.prompt = what.prompt;
        give(router, event);
    });
}

void simulated_fleet::act(const respond_to_caller& action, std::size_t /*router*/)
{
    const auto found = attempts_.find(action.request);
    if (found == attempts_.end()) {
        return;
    }
    const auto call = found->second.call;
    attempts_.erase(found);
    constexpr int not_run = 503;
    if (action.status != not_run) {
        return;
    }
    const auto back_at = now_ + plan_.to_callers + action.retry_after.value_or(usual_return);
    const auto deadline = start_ + calls_[call].at + plan_.kinds[calls_[call].kind].deadline;
    if (back_at >= deadline || !returned_.insert(call).second) {
        ledger_.refused(call);
        return;
    }
    const auto next = std::uniform_int_distribution<std::size_t>(0, routers_.size() - 1)(random_);
    at(back_at, [this, call, next] { start_call(call, next, true); });
}

// --- Routers

void simulated_fleet::give(std::size_t router, const router_event& event)
{
    const auto orders = routers_[router].router->on_event(event, now_);
    const std::vector<router_action> actions(orders.begin(), orders.end());
    for (const auto& action : actions) {
        std::visit([&](const auto& each) { act(each, router); }, action);
    }
    schedule_tick(router);
}

void simulated_fleet::schedule_tick(std::size_t router)
{
    auto& node = routers_[router];
    const auto due = std::max(node.router->next_due(), now_);
    if (due == never || node.tick_at <= due) {
        return;
    }
    node.tick_at = due;
    at(due, [this, router] {
        routers_[router].tick_at = never;
        give(router, tick{});
    });
}

void simulated_fleet::send_reports(std::size_t router)
{
    const load_reported event{routers_[router].router->report(now_), {}};
    for (std::size_t other = 0; other < routers_.size(); ++other) {
        if (other == router) {
            continue;
        }
        const bool near = routers_[other].zone == routers_[router].zone;
        at(now_ + (near ? within_zone : plan_.between_zones), [this, other, event] { give(other, event); });
    }
    at(now_ + plan_.report_interval, [this, router] { send_reports(router); });
}

void simulated_fleet::act(const send_request& action, std::size_t router)
{
    const auto found = attempts_.find(action.request);
    const auto engine = static_cast<std::size_t>(action.upstream->address.port) - 1;
    auto& attempt = found->second;
    attempt.engine = engine;
    attempt.run = ++last_run_;
    requests_by_run_[attempt.run] = action.request;
    engine_run run;
    run.id = attempt.run;
    run.urgency = action.urgency;
    run.priority = priority_of(calls_[attempt.call]);
    run.parts = calls_[attempt.call].prompt.parts;
    // A stream that goes on elsewhere produces only what its caller lacks.
    const auto had = attempt.events * plan_.engine.tokens_per_event;
    const auto whole = calls_[attempt.call].output_tokens;
    run.output_tokens = std::max(1U, whole - std::min(whole, had));
    const auto arrives = now_ + latency(router, engine);
    if (!action.copy_from) {
        at(arrives,
           [this, engine, request = action.request, run = std::move(run)] { submit(engine, request, run); });
        return;
    }
    const auto source = static_cast<std::size_t>(action.copy_from->address.port) - 1;
    at(arrives, [this, source, engine, request = action.request, run = std::move(run)] {
        copy_parts(source, engine, request, run);
    });
}

void simulated_fleet::act(const stop_send& action, std::size_t router)
{
    const auto found = attempts_.find(action.request);
    if (found == attempts_.end() || found->second.run == 0) {
        return;
    }
    const auto run = std::exchange(found->second.run, 0);
    const auto engine = found->second.engine;
    requests_by_run_.erase(run);
    at(now_ + latency(router, engine), [this, engine, run] { engines_[engine].model->cancel(run); });
}

// --- Engines

void simulated_fleet::submit(std::size_t engine, request_number request, engine_run run)
{
    if (!requests_by_run_.contains(run.id)) {
        return; // Stopped on its way.
    }
    if (!engines_[engine].is_up) {
        requests_by_run_.erase(run.id);
        send_failed_at(request, send_fault::unreachable, within_zone);
        return;
    }
    engines_[engine].model->submit(std::move(run), now_);
    schedule_step(engine);
}

void simulated_fleet::copy_parts(std::size_t source, std::size_t engine, request_number request,
                                 engine_run run)
{
    const auto& from = *engines_[source].model;
    const auto& to = *engines_[engine].model;
    auto parts = std::span(run.parts).first(run.parts.size() - 1);
    while (!parts.empty() && from.missing(parts) > 0) {
        parts = parts.first(parts.size() - 1);
    }
    const auto copied = to.missing(parts);
    if (copied == 0 || !engines_[source].is_up) {
        submit(engine, request, std::move(run));
        return;
    }
    auto& free_at = engines_[source].link_free_at;
    free_at = std::max(free_at, now_) + scaled(milliseconds(1), copied / plan_.engine.copied_tokens_per_ms);
    std::vector<prompt_part> given(parts.begin(), parts.end());
    at(free_at + copy_setup, [this, engine, request, run = std::move(run), given = std::move(given)] {
        if (engines_[engine].is_up) {
            engines_[engine].model->receive(given);
        }
        submit(engine, request, run);
    });
}

void simulated_fleet::schedule_step(std::size_t engine)
{
    auto& node = engines_[engine];
    const auto due = node.model->next_due();
    if (due == never || node.step_at <= due) {
        return;
    }
    node.step_at = due;
    at(due, [this, engine] { step(engine); });
}

void simulated_fleet::step(std::size_t engine)
{
    auto& node = engines_[engine];
    if (node.model->next_due() > now_) {
        schedule_step(engine);
        return;
    }
    node.step_at = never;
    const auto told = node.model->advance(now_);
    for (const auto& news : told) {
        tell(engine, news);
    }
    schedule_step(engine);
}

void simulated_fleet::tell(std::size_t engine, const engine_news& news)
{
    const auto known = requests_by_run_.find(news.run);
    if (known == requests_by_run_.end()) {
        return;
    }
    const auto request = known->second;
    const auto found = attempts_.find(request);
    if (found == attempts_.end()) {
        return;
    }
    const auto call = found->second.call;
    const auto router = found->second.router;
    const auto delay = latency(router, engine);
    switch (news.what) {
    case engine_news::kind::refused:
        requests_by_run_.erase(known);
        send_failed_at(request, send_fault::not_run, delay);
        return;
    case engine_news::kind::event:
        ledger_.event(call, since_start() + delay + plan_.to_callers);
        if (found->second.events++ == 0) {
            at(now_ + delay, [this, router, request] { give(router, first_event_seen{request}); });
        }
        return;
    case engine_news::kind::completed:
        requests_by_run_.erase(known);
        ledger_.completed(call);
        at(now_ + delay, [this, router, request] {
            give(router, request_completed{request, false});
            attempts_.erase(request);
        });
        return;
    }
}

void simulated_fleet::send_failed_at(request_number request, send_fault fault, duration after)
{
    at(now_ + after, [this, request, fault] {
        const auto found = attempts_.find(request);
        if (found == attempts_.end()) {
            return;
        }
        found->second.run = 0;
        send_failed event;
        event.request = request;
        event.fault = fault;
        event.response_begun = found->second.events > 0;
        give(found->second.router, event);
    });
}

void simulated_fleet::begin_outage(const engine_outage& outage)
{
    std::vector<std::size_t> lost;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (engines_[i].is_up) {
            lost.push_back(i);
        }
    }
    std::ranges::shuffle(lost, random_);
    lost.resize(std::min(lost.size(), outage.engines));
    for (const auto engine : lost) {
        end_engine(engine);
        at(now_ + outage.lasts, [this, engine] {
            auto& node = engines_[engine];
            node.is_up = true;
            ++node.record.incarnation;
            tell_routers(upstream_listed{node.record});
        });
        if (outage.lasts > lapse) {
            at(now_ + lapse, [this, engine] { tell_routers(upstream_removed{engines_[engine].record.id}); });
        }
    }
}

void simulated_fleet::end_engine(std::size_t engine)
{
    auto& node = engines_[engine];
    node.is_up = false;
    retired_.push_back(std::exchange(node.model, std::make_unique<engine_model>(plan_.engine)));
    std::vector<std::pair<std::uint64_t, request_number>> lost;
    for (const auto& [run, request] : requests_by_run_) {
        const auto found = attempts_.find(request);
        if (found != attempts_.end() && found->second.run == run && found->second.engine == engine) {
            lost.emplace_back(run, request);
        }
    }
    std::ranges::sort(lost);
    for (const auto& [run, request] : lost) {
        requests_by_run_.erase(run);
        send_failed_at(request, send_fault::lost, within_zone);
    }
}

void simulated_fleet::tell_routers(const router_event& event)
{
    for (std::size_t i = 0; i < routers_.size(); ++i) {
        give(i, event);
    }
}

} // namespace clementinegap
