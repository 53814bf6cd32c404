#include "core/digest.h"
#include "request/entry_core.h"
#include "request/upstream_core.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

using namespace clementinegap;

namespace {

/// The size of a deployment, as far as decisions depend on it.
struct size_of_deployment {
    int tiers{7};
    int classes{21};
    int workspaces{2300};
    int upstreams{600};
    int models{15};
};

constexpr int rounds = 2000;

std::string class_name(int index)
{
    return "class-" + std::to_string(index);
}

std::string workspace_name(int index)
{
    return "workspace-" + std::to_string(index);
}

std::string model_name(int index)
{
    return "model-" + std::to_string(index);
}

std::string upstream_name(int index)
{
    return "upstream-" + std::to_string(index);
}

configuration_ptr configuration_of(const size_of_deployment& size)
{
    configuration value;
    value.version = 1;
    for (int i = 0; i < size.classes; ++i) {
        request_class item;
        item.name = class_name(i);
        item.tier = i % size.tiers;
        item.model = model_name(i % size.models);
        value.classes.push_back(item);
    }
    for (int i = 0; i < size.workspaces; ++i) {
        value.workspaces.push_back({workspace_name(i), sha256_hex(workspace_name(i)), 1, {}});
    }
    return std::make_shared<const configuration>(std::move(value));
}

/// Times each event on its own and sums them up.
class stopwatch {
public:
    void measure(const std::function<void()>& event)
    {
        const auto begin = std::chrono::steady_clock::now();
        event();
        spent_ += std::chrono::steady_clock::now() - begin;
        ++events_;
    }
    double microseconds_each() const
    {
        return std::chrono::duration<double, std::micro>(spent_).count() / static_cast<double>(events_);
    }

private:
    std::chrono::steady_clock::duration spent_{};
    long events_{0};
};

/// A request through an entry daemon: admitted, granted, started, five chunks, finished.
double entry_cost(const size_of_deployment& size)
{
    entry_core_settings settings;
    settings.vm = "entry-1";
    entry_core core(settings);
    time_point now{seconds(1000)};
    core.on_event(configuration_applied{configuration_of(size)}, now);
    for (int i = 0; i < size.upstreams; ++i) {
        hello_message hello;
        hello.vm = upstream_name(i);
        hello.zone = "zone-" + std::to_string(i % 6);
        hello.models = {model_name(i % size.models)};
        hello.slots = 8;
        core.on_event(upstream_connected{hello.vm}, now);
        core.on_event(upstream_message_received{hello.vm, hello}, now);
    }
    stopwatch watch;
    std::vector<std::string> keys;
    for (int i = 0; i < size.workspaces; ++i) {
        keys.push_back(sha256_hex(workspace_name(i)));
    }
    for (int i = 0; i < rounds; ++i) {
        now += milliseconds(1);
        caller_request request;
        request.caller = static_cast<caller_id>(i) + 1;
        request.key_sha256 = keys[static_cast<std::size_t>(i) % keys.size()];
        request.class_name = class_name(i % size.classes);
        request.body = "{\"number\":" + std::to_string(i) + "}";
        std::string vm;
        attempt_id attempt;
        watch.measure([&] {
            for (const auto& action : core.on_event(request, now)) {
                const auto* sent = std::get_if<send_to_upstream>(&action);
                const auto* reserve =
                    sent == nullptr ? nullptr : std::get_if<reserve_message>(&sent->message);
                if (reserve != nullptr) {
                    vm = sent->vm;
                    attempt = reserve->attempt;
                }
            }
        });
        if (i % 4 != 0) {
            continue; // It stays in the table, so that the table has a real size.
        }
        watch.measure([&] { core.on_event(upstream_message_received{vm, granted_message{attempt}}, now); });
        watch.measure([&] { core.on_event(upstream_message_received{vm, started_message{attempt}}, now); });
        watch.measure([&] {
            core.on_event(upstream_message_received{vm, head_message{attempt, 200, "text/event-stream"}},
                          now);
        });
        for (std::uint32_t token = 0; token < 5; ++token) {
            watch.measure([&] {
                core.on_event(upstream_message_received{vm, chunk_message{attempt, token * 8UL, "data: 1\n",
                                                                          token + 1}},
                              now);
            });
        }
        watch.measure([&] {
            core.on_event(
                upstream_message_received{vm, finished_message{attempt, result_code::ok, ran_state::yes}},
                now);
        });
    }
    return watch.microseconds_each();
}

/// A full upstream daemon: reservations of all workspaces wait while eight runs produce tokens and end.
double upstream_cost(const size_of_deployment& size)
{
    upstream_settings settings;
    settings.vm = "upstream-1";
    settings.models = {"model-0"};
    upstream_core core(settings);
    time_point now{seconds(1000)};
    core.on_event(configuration_applied{configuration_of(size)}, now);
    core.on_event(entry_connected{1}, now);
    stopwatch watch;
    std::vector<run_id> running;
    std::vector<attempt_id> granted;
    const auto collect = [&](std::span<const upstream_action> actions) {
        for (const auto& action : actions) {
            if (const auto* started = std::get_if<engine_start>(&action)) {
                running.push_back(started->run);
            } else if (const auto* sent = std::get_if<send_to_entry>(&action)) {
                if (const auto* grant = std::get_if<granted_message>(&sent->message)) {
                    granted.push_back(grant->attempt);
                }
            }
        }
    };
    for (int i = 0; i < rounds; ++i) {
        now += milliseconds(1);
        reserve_message message;
        message.attempt = {1, static_cast<std::uint64_t>(i) + 1};
        message.request_id = "request-" + std::to_string(i);
        message.workspace = workspace_name(i % size.workspaces);
        message.class_name = class_name(i % size.classes);
        message.tier = static_cast<std::uint8_t>((i % size.classes) % size.tiers);
        message.quantum_tokens = 256;
        message.time_left = seconds(3600);
        message.target_left = milliseconds(330);
        message.starvation_bound = seconds(3600);
        watch.measure([&] { collect(core.on_event(entry_message_received{1, message}, now)); });
        for (const auto attempt : std::exchange(granted, {})) {
            watch.measure([&] {
                collect(core.on_event(
                    entry_message_received{1, dispatch_message{attempt, "POST", "/", "", "{}", 0}}, now));
            });
        }
        if (i % 4 != 0 || running.empty()) {
            continue;
        }
        const auto run = running.front();
        running.erase(running.begin());
        watch.measure([&] { core.on_event(engine_head{run, 200, "text/event-stream"}, now); });
        for (int token = 0; token < 5; ++token) {
            watch.measure([&] { core.on_event(engine_bytes{run, "data: 1\n\n", 1}, now); });
        }
        watch.measure([&] { collect(core.on_event(engine_ended{run, engine_end_kind::complete}, now)); });
    }
    return watch.microseconds_each();
}

void print_row(const char* what, const size_of_deployment& size)
{
    std::printf("| %-22s | %d | %d | %d | %d | %d | %.2f | %.2f |\n", what, size.tiers, size.classes,
                size.workspaces, size.upstreams, size.models, entry_cost(size), upstream_cost(size));
}

size_of_deployment with(void (*change)(size_of_deployment&))
{
    size_of_deployment size;
    change(size);
    return size;
}

} // namespace

int main()
{
    std::puts("| size | tiers | classes | workspaces | upstreams | models | entry us | upstream us |");
    std::puts("|---|---|---|---|---|---|---|---|");
    print_row("the size to design for", {});
    print_row("today", {4, 4, 10, 12, 1});
    print_row("workspaces x 4", with([](size_of_deployment& size) { size.workspaces *= 4; }));
    print_row("upstreams x 4", with([](size_of_deployment& size) { size.upstreams *= 4; }));
    print_row("classes x 16", with([](size_of_deployment& size) { size.classes *= 16; }));
    print_row("one tier", with([](size_of_deployment& size) { size.tiers = 1; }));
    print_row("one model", with([](size_of_deployment& size) { size.models = 1; }));
    return 0;
}
