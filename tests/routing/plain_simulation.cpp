#include "routing/plain_simulation.h"

#include "routing/scaled_duration.h"

#include <algorithm>
#include <utility>

namespace clementinegap::testing {
namespace {

constexpr duration link_delay = microseconds(500);
constexpr duration objective = milliseconds(300);
constexpr duration timeout = milliseconds(4000);
constexpr std::int64_t budget_window_s = 10;
constexpr double budget_ratio = 0.2;

route plain_route(const std::string& prefix, repeat_rule repeat, std::uint8_t priority)
{
    route result;
    result.name = prefix;
    result.host = "h";
    result.prefix = prefix;
    result.targets = {{"app", 1}};
    result.repeat = repeat;
    result.is_public = true;
    result.timeout = timeout;
    result.objective = objective;
    result.priority = priority;
    result.max_upstreams = repeat == repeat_rule::once ? 1 : 2;
    return result;
}

std::shared_ptr<const route_table> plain_table()
{
    auto result = std::make_shared<route_table>(1);
    result->add_route(plain_route("/book/", repeat_rule::once, 0));
    result->add_route(plain_route("/look/", repeat_rule::repeatable, 1));
    service plain;
    plain.name = "app";
    result->add_service(plain);
    return result;
}

} // namespace

plain_simulation::plain_simulation(const plan& options) : plan_(options), random_(options.seed)
{
    directory_listed listing;
    for (std::size_t i = 0; i < plan_.upstreams; ++i) {
        upstreams_.push_back({"p" + std::to_string(i + 1)});
        listing.records.push_back(
            router_fixture::upstream(upstreams_.back().id, "app", "z" + std::to_string(1 + i % 3)));
        listing.records.back().slots = plan_.slots;
    }
    const auto table = plain_table();
    for (std::size_t i = 0; i < plan_.daemons; ++i) {
        auto settings = daemon_settings(i, 1, plan_.retry_slack);
        settings.zone = "z" + std::to_string(1 + i % 3);
        routers_.push_back(std::make_unique<request_router>(std::move(settings)));
        give(i, configuration_received{table});
        give(i, listing);
        give(i, fleet_size_known{plan_.daemons});
        at(now_ + scaled(plan_.report_interval, draw()), [this, i] { report_from(i); });
    }
    set_rates(plan_.once_per_second, plan_.repeatable_per_second);
}

void plain_simulation::set_rates(double once_per_second, double repeatable_per_second)
{
    ++arrival_epoch_;
    plan_.once_per_second = once_per_second;
    plan_.repeatable_per_second = repeatable_per_second;
    next_arrival(true);
    next_arrival(false);
}

void plain_simulation::next_arrival(bool once)
{
    const auto rate = once ? plan_.once_per_second : plan_.repeatable_per_second;
    if (rate <= 0) {
        return;
    }
    const auto gap = std::exponential_distribution<double>(rate)(random_);
    at(now_ + scaled(seconds(1), gap), [this, once, epoch = arrival_epoch_] {
        if (epoch == arrival_epoch_) {
            ++results_.arrived;
            arrive(any_daemon(), once, false);
            next_arrival(once);
        }
    });
}

void plain_simulation::arrive(std::size_t daemon, bool once, bool came_back)
{
    request_arrived event;
    event.request = ++last_;
    event.id = "id-" + std::to_string(last_);
    event.host = "h";
    event.path = once ? "/book/x" : "/look/x";
    event.body_hash = last_;
    open_[last_] = {now_, once, came_back};
    ++budget_[now_.time_since_epoch() / seconds(1)].requests;
    give(daemon, event);
}

void plain_simulation::pass(duration span)
{
    const auto end = now_ + span;
    while (true) {
        auto next = std::min(end, due_.empty() ? end : due_.begin()->first);
        std::size_t ticking = routers_.size();
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (routers_[i]->next_due() < next) {
                next = std::max(now_, routers_[i]->next_due());
                ticking = i;
            }
        }
        now_ = next;
        if (ticking < routers_.size()) {
            give(ticking, tick{});
        } else if (!due_.empty() && due_.begin()->first <= now_ && now_ < end) {
            due_.extract(due_.begin()).mapped()();
        } else {
            return;
        }
    }
}

void plain_simulation::give(std::size_t daemon, const router_event& event)
{
    const auto orders = routers_[daemon]->on_event(event, now_);
    const std::vector<router_action> actions(orders.begin(), orders.end());
    for (const auto& each : actions) {
        if (const auto* send = std::get_if<send_request>(&each)) {
            on_send(daemon, *send);
        } else if (const auto* response = std::get_if<respond_to_caller>(&each)) {
            on_response(daemon, *response);
        } else if (const auto* stop = std::get_if<stop_send>(&each)) {
            ++open_[stop->request].send; // The response to this send is ignored.
        } else if (const auto* line = std::get_if<log_decision>(&each)) {
            results_.waited += line->event == "request.waiting" ? 1 : 0;
        } else if (const auto* passed = std::get_if<pass_failure>(&each)) {
            ++results_.failed;
            open_.erase(passed->request);
        }
    }
}

void plain_simulation::on_send(std::size_t daemon, const send_request& send)
{
    auto& request = open_.at(send.request);
    ++results_.sends;
    budget_[now_.time_since_epoch() / seconds(1)].extra_sends += request.sends++ > 0 ? 1 : 0;
    const auto number = ++request.send;
    const auto which = static_cast<std::size_t>(
        std::ranges::find(upstreams_, send.upstream->id, &upstream::id) - upstreams_.begin());
    at(now_ + link_delay, [this, daemon, which, number, sent = send.request] {
        auto& to = upstreams_[which];
        const auto answer = [this, daemon, number, sent](duration after, router_event event) {
            at(now_ + after, [this, daemon, number, sent, event = std::move(event)] {
                const auto found = open_.find(sent);
                if (found == open_.end() || found->second.send != number) {
                    return;
                }
                if (std::holds_alternative<request_completed>(event)) {
                    completed(found->second);
                    open_.erase(found);
                }
                give(daemon, event);
            });
        };
        if (to.running >= plan_.slots) {
            ++results_.rejections;
            answer(link_delay, send_failed{sent, send_fault::not_run});
            return;
        }
        const bool is_reset = which == 0 && draw() < plan_.resets;
        results_.lost += is_reset ? 1 : 0;
        const auto takes = scaled(plan_.service_time, is_reset ? draw() : 0.9 + 0.2 * draw());
        ++to.running;
        at(now_ + takes, [&to] { --to.running; });
        answer(takes + link_delay, is_reset ? router_event(send_failed{sent, send_fault::lost})
                                            : router_event(request_completed{sent}));
    });
}

void plain_simulation::completed(const open_request& request)
{
    ++(now_ - request.arrived <= objective ? results_.in_time : results_.late);
    results_.returned_served += request.came_back ? 1 : 0;
}

void plain_simulation::on_response(std::size_t daemon, const respond_to_caller& response)
{
    const auto found = open_.find(response.request);
    const auto request = found->second;
    open_.erase(found);
    if (response.status != 503) {
        ++results_.failed;
        return;
    }
    if (request.came_back || !response.retry_after || *response.retry_after > timeout) {
        ++results_.refused;
        return;
    }
    at(now_ + *response.retry_after, [this, daemon, once = request.once] {
        ++results_.returned;
        auto other = any_daemon();
        arrive(other == daemon ? (other + 1) % plan_.daemons : other, once, true);
    });
}

void plain_simulation::report_from(std::size_t daemon)
{
    auto report = routers_[daemon]->report(now_);
    report.next_in = plan_.report_interval;
    const load_reported event{std::move(report), {}};
    for (std::size_t to = 0; to < routers_.size(); ++to) {
        if (to != daemon && draw() >= plan_.report_loss) {
            give(to, event);
        }
    }
    at(now_ + plan_.report_interval, [this, daemon] { report_from(daemon); });
}

double plain_simulation::budget_used() const
{
    double most = 0;
    for (const auto& [first, unused] : budget_) {
        double requests = 0;
        double extra = 0;
        for (auto each = budget_.lower_bound(first); each != budget_.lower_bound(first + budget_window_s);
             ++each) {
            requests += each->second.requests;
            extra += each->second.extra_sends;
        }
        most = std::max(most, extra / (budget_ratio * requests + plan_.retry_slack));
    }
    return most;
}

plain_simulation::results plain_simulation::take_results()
{
    results_.budget_used = budget_used();
    return std::exchange(results_, {});
}

} // namespace clementinegap::testing
