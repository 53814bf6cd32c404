#include "routing/random_router_run.h"

namespace clementinegap::testing {
namespace {

constexpr int steps = 60;

bool sent_once_only(bool is_once, bool may_have_run, int reached)
{
    return !is_once || (!may_have_run && reached <= 1);
}

} // namespace

random_router_run::random_router_run(std::uint32_t seed) : random_(seed) {}

bool random_router_run::run()
{
    for (int i = 0; i < steps && broken_.empty(); ++i) {
        step();
    }
    // Every request must end within its time limit, whatever happened to its upstream.
    for (int i = 0; i < 100 && broken_.empty(); ++i) {
        at_.now += milliseconds(100);
        give(tick{});
    }
    for (const auto& [number, each] : requests_) {
        if (!each.over) {
            fail("request " + std::to_string(number) + " never ended");
        }
    }
    if (at_.router.open_requests() != 0) {
        fail("the router still holds requests");
    }
    if (!at_.router.report(at_.now).loads.empty()) {
        fail("load remains without an open request");
    }
    return broken_.empty();
}

void random_router_run::step()
{
    at_.now += microseconds(pick(60000));
    give(tick{});
    switch (pick(10)) {
    case 0:
    case 1:
    case 2:
        arrive();
        return;
    case 3:
    case 4:
    case 5:
    case 6:
        end_some_send();
        return;
    case 7:
        caller_leaves();
        return;
    case 8:
        change_upstreams();
        return;
    default:
        change_configuration();
        return;
    }
}

void random_router_run::arrive()
{
    outside_view view;
    view.what = static_cast<kind>(pick(4));
    const auto number = at_.last + 1;
    // Set before the arrival, since the router may act on the request immediately.
    view.ends_by = at_.now + seconds(6);
    requests_[number] = view;
    switch (view.what) {
    case kind::lookup:
        at_.arrive("/look/x");
        break;
    case kind::booking:
        at_.arrive("/book/x");
        break;
    case kind::ask:
        at_.arrive_generation("/ask/x", pick(5), 100 + pick(5000));
        break;
    case kind::guide:
        at_.arrive_generation("/guide/x", pick(5), 100 + pick(500));
        break;
    }
    process_actions();
}

request_number random_router_run::any_open()
{
    std::vector<request_number> open;
    for (const auto& [number, each] : requests_) {
        if (!each.over) {
            open.push_back(number);
        }
    }
    return open.empty() ? 0 : open[pick(static_cast<std::uint32_t>(open.size()))];
}

void random_router_run::end_some_send()
{
    const auto number = any_open();
    if (number == 0 || !requests_[number].being_sent) {
        return;
    }
    auto& view = requests_[number];
    const bool is_stream = view.what == kind::ask || view.what == kind::guide;
    const auto outcome = pick(8);
    if (outcome == 0 || (outcome == 1 && !is_stream)) {
        view.being_sent = false;
        end(number, "completed");
        give(request_completed{number, pick(4) == 0});
        return;
    }
    if (outcome == 1) {
        view.response_begun = true;
        view.may_have_run = true;
        give(first_event_seen{number});
        return;
    }
    auto fault = static_cast<send_fault>(pick(7));
    if (view.response_begun) {
        fault = send_fault::lost;
    }
    const bool certain = fault == send_fault::unreachable || fault == send_fault::not_run ||
                         fault == send_fault::wrong_instance || fault == send_fault::recalled;
    view.may_have_run = view.may_have_run || !certain;
    view.reached -= fault == send_fault::unreachable || fault == send_fault::recalled ? 1 : 0;
    view.being_sent = false;
    give(send_failed{number, fault, view.response_begun});
}

void random_router_run::caller_leaves()
{
    const auto number = any_open();
    if (number != 0) {
        end(number, "caller left");
        give(caller_left{number});
    }
}

void random_router_run::change_upstreams()
{
    const auto id = pick(2) == 0 ? "p" + std::to_string(1 + pick(2)) : "e" + std::to_string(1 + pick(12));
    auto record = router_fixture::upstream(id, id.front() == 'p' ? "app" : "llm");
    switch (pick(4)) {
    case 0:
        not_usable_.insert(id);
        give(upstream_removed{id});
        return;
    case 1:
        not_usable_.insert(id);
        record.leaving = true;
        give(upstream_listed{record});
        return;
    default:
        not_usable_.erase(id);
        record.incarnation = 1 + pick(3);
        give(upstream_listed{record});
        return;
    }
}

void random_router_run::change_configuration()
{
    const auto offered = version_ + pick(4) - 1;
    give(configuration_received{router_fixture::table(offered)});
    version_ = std::max(version_, offered);
    if (at_.router.table()->version() != version_) {
        fail("the configuration in force is not the newest one received");
    }
}

void random_router_run::give(const router_event& event)
{
    at_.give(event);
    process_actions();
}

void random_router_run::process_actions()
{
    const auto actions = at_.actions;
    for (const auto& each : actions) {
        if (const auto* send = std::get_if<send_request>(&each)) {
            check(*send);
        } else if (const auto* answer = std::get_if<respond_to_caller>(&each)) {
            check(*answer);
        } else if (const auto* pass = std::get_if<pass_failure>(&each)) {
            end(pass->request, "failure forwarded");
        } else if (const auto* cut = std::get_if<abort_caller>(&each)) {
            if (!requests_[cut->request].response_begun) {
                fail("a response was cut that had not begun");
            }
            end(cut->request, "cut");
        } else if (const auto* stop = std::get_if<stop_send>(&each)) {
            auto& view = requests_[stop->request];
            view.may_have_run = view.may_have_run || view.being_sent;
            view.being_sent = false;
        }
    }
}

void random_router_run::check(const send_request& send)
{
    auto& view = requests_[send.request];
    const bool is_once = view.what == kind::booking || view.what == kind::guide;
    if (view.over) {
        fail("a request was sent after its end");
    }
    if (view.being_sent) {
        fail("a request was sent while it was being sent");
    }
    ++view.reached;
    if (!sent_once_only(is_once, view.may_have_run, view.reached)) {
        fail("a request that may run once was sent again");
    }
    if (view.reached > 2) {
        fail("a request was sent to more upstreams than its route allows");
    }
    if (not_usable_.contains(send.upstream->id)) {
        fail("a request was sent to " + send.upstream->id + ", which is leaving or removed");
    }
    if (send.time_left > view.ends_by - at_.now) {
        fail("an upstream was given more time than is left");
    }
    view.being_sent = true;
    view.upstream = send.upstream->id;
}

void random_router_run::check(const respond_to_caller& answer)
{
    auto& view = requests_[answer.request];
    if (view.response_begun) {
        fail("a second response was sent");
    }
    const bool promises_not_run = answer.status == 503 || answer.status == 429;
    const bool is_once = view.what == kind::booking || view.what == kind::guide;
    if (promises_not_run && (view.may_have_run || view.being_sent) && is_once) {
        fail("a request that may have run was reported as not run");
    }
    if (!promises_not_run && answer.status != 502 && answer.status != 504) {
        fail("a valid request got status " + std::to_string(answer.status));
    }
    end(answer.request, "response sent");
}

void random_router_run::end(request_number number, const std::string& how)
{
    auto& view = requests_[number];
    if (view.over) {
        fail("request " + std::to_string(number) + " ended twice, now " + how);
    }
    view.over = true;
}

void random_router_run::fail(const std::string& what)
{
    if (broken_.empty()) {
        broken_ = what;
    }
}

} // namespace clementinegap::testing
