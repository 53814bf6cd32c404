#include "slopes/slope_suite.h"

#include "adapters/peer_codec.h"
#include "adapters/run_record_codec.h"
#include "cluster/cluster_core.h"
#include "config/configuration_builder.h"
#include "core/digest.h"
#include "slopes/request_pipeline.h"
#include "slopes/resource_meter.h"
#include "slopes/session_cost.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace clementinegap {
namespace {

constexpr std::size_t pipeline_requests = 2000;
constexpr std::uint32_t few_tokens = 1;
constexpr std::uint32_t many_tokens = 33;
constexpr std::size_t few_views = 3;
constexpr std::size_t many_views = 67;
constexpr std::size_t few_workspaces = 100;
constexpr std::size_t many_workspaces = 2300;
constexpr std::size_t few_classes = 6;
constexpr std::size_t many_classes = 46;
constexpr std::size_t held_items = 5000;
constexpr int repeats = 20000;
constexpr std::size_t body_bytes = 2048;

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

configuration make_configuration(std::size_t workspaces, std::size_t classes)
{
    configuration_builder builder;
    builder.version(1);
    for (std::size_t i = 0; i < classes; ++i) {
        builder.add(
            class_builder("class-" + std::to_string(i), "assistant").tier(static_cast<int>(i) % max_tiers));
    }
    for (std::size_t i = 0; i < workspaces; ++i) {
        builder.add_workspace("workspace-" + std::to_string(i), sha256_hex("key-" + std::to_string(i)));
    }
    return builder.build().value();
}

configuration_ptr rules()
{
    return std::make_shared<const configuration>(make_configuration(few_workspaces, few_classes));
}

/// Processor time of one `step`, in microseconds.
double cpu_of(int count, const std::function<void(int)>& step)
{
    const auto began = thread_cpu_us();
    for (int i = 0; i < count; ++i) {
        step(i);
    }
    return (thread_cpu_us() - began) / count;
}

/// Gathers rounds of one suite and gives medians at the end.
class slope_table {
public:
    void add(const std::string& name, const std::string& per, const std::string& unit, double value)
    {
        const auto found = std::ranges::find(rows_, name, [](const row& item) { return item.about.name; });
        if (found == rows_.end()) {
            rows_.push_back({{name, per, unit, 0}, {value}});
        } else {
            found->values.push_back(value);
        }
    }

    std::vector<slope> medians() const
    {
        std::vector<slope> result;
        for (const auto& item : rows_) {
            result.push_back(item.about);
            result.back().value = median(item.values);
        }
        return result;
    }

private:
    struct row {
        slope about;
        std::vector<double> values;
    };
    std::vector<row> rows_;
};

struct pipeline_result {
    side_cost entry;
    side_cost upstream;
};

pipeline_result run_pipeline(std::size_t views, std::uint32_t tokens, std::uint64_t seed)
{
    request_pipeline pipeline(rules(), views, seed);
    pipeline_load load;
    load.requests = pipeline_requests;
    load.tokens = tokens;
    load.body_bytes = body_bytes;
    pipeline.run(load);
    return {pipeline.entry_cost(), pipeline.upstream_cost()};
}

double per_request(double value)
{
    return value / static_cast<double>(pipeline_requests);
}

double per_token(double few, double many)
{
    return (many - few) / static_cast<double>(pipeline_requests) / (many_tokens - few_tokens);
}

void add_side(slope_table& table, const std::string& side, const side_cost& few, const side_cost& many)
{
    const auto token_cpu = per_token(few.cpu_us, many.cpu_us);
    const auto token_bytes = per_token(static_cast<double>(few.bytes), static_cast<double>(many.bytes));
    const auto token_messages =
        per_token(static_cast<double>(few.messages), static_cast<double>(many.messages));
    table.add(side + ".token.cpu", "token", "us", token_cpu);
    table.add(side + ".token.bytes_sent", "token", "bytes", token_bytes);
    table.add(side + ".token.messages_sent", "token", "messages", token_messages);
    table.add(side + ".request.cpu", "request", "us", per_request(few.cpu_us) - few_tokens * token_cpu);
    table.add(side + ".request.bytes_sent", "request", "bytes",
              per_request(static_cast<double>(few.bytes)) - few_tokens * token_bytes);
    table.add(side + ".request.messages_sent", "request", "messages",
              per_request(static_cast<double>(few.messages)) - few_tokens * token_messages);
    table.add(side + ".request.events", "request", "events", per_request(static_cast<double>(few.records)));
}

void add_requests(slope_table& table, std::uint64_t seed)
{
    const auto few = run_pipeline(few_views, few_tokens, seed);
    const auto many = run_pipeline(few_views, many_tokens, seed);
    add_side(table, "entry", few.entry, many.entry);
    add_side(table, "upstream", few.upstream, many.upstream);
    const auto wide = run_pipeline(many_views, few_tokens, seed);
    table.add("entry.upstream.cpu_of_request", "upstream known to the entry, each request", "us",
              per_request(wide.entry.cpu_us - few.entry.cpu_us) /
                  static_cast<double>(many_views - few_views));
}

caller_request sample_request(caller_id caller)
{
    caller_request request;
    request.caller = caller;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.key_sha256 = sha256_hex("key-0");
    request.class_name = "class-0";
    request.model = "assistant";
    request.body.assign(body_bytes, 'b');
    return request;
}

void say_hello(entry_core& core, std::size_t index, time_point now)
{
    const auto vm = "upstream-" + std::to_string(index);
    core.on_event(upstream_connected{vm}, now);
    hello_message hello;
    hello.vm = vm;
    hello.zone = "zone-1";
    hello.region = "region-1";
    hello.models = {"assistant", "adapter-1"};
    hello.slots = 8;
    core.on_event(upstream_said{vm, hello}, now);
}

void add_entry_memory(slope_table& table)
{
    const time_point now(seconds(1));
    entry_core_settings settings;
    settings.max_requests = 2 * held_items;
    entry_core core(settings);
    core.on_event(configuration_applied{rules()}, now);
    constexpr std::size_t views = 100;
    auto before = live_bytes();
    for (std::size_t i = 0; i < views; ++i) {
        say_hello(core, i, now);
    }
    table.add("entry.upstream.memory", "upstream known to the entry", "bytes",
              static_cast<double>(live_bytes() - before) / views);
    before = live_bytes();
    for (std::size_t i = 0; i < held_items; ++i) {
        core.on_event(sample_request(i + 1), now);
    }
    table.add("entry.request.memory", "open request with a body of 2,048 bytes", "bytes",
              static_cast<double>(live_bytes() - before) / held_items);
}

reserve_message sample_reservation(std::uint64_t number)
{
    reserve_message message;
    message.attempt = {7, number};
    message.request_id = "00112233445566778899aabbccdd";
    message.workspace = "workspace-" + std::to_string(number % many_workspaces);
    message.class_name = "class-0";
    message.model = "assistant";
    message.fingerprint = sha256_hex("body");
    message.time_left = seconds(60);
    message.target_left = seconds(1);
    message.starvation_bound = seconds(30);
    return message;
}

void add_upstream_memory(slope_table& table)
{
    const time_point now(seconds(1));
    upstream_settings settings;
    settings.slots = 1;
    settings.max_queue = 2 * held_items;
    upstream_core core(settings);
    core.on_event(configuration_applied{rules()}, now);
    constexpr std::size_t sessions = 100;
    auto before = live_bytes();
    for (std::size_t i = 1; i <= sessions; ++i) {
        core.on_event(entry_connected{i}, now);
    }
    table.add("upstream.session.memory", "connected entry", "bytes",
              static_cast<double>(live_bytes() - before) / sessions);
    before = live_bytes();
    for (std::size_t i = 1; i <= held_items; ++i) {
        core.on_event(entry_said{1, sample_reservation(i)}, now);
    }
    const auto queued = live_bytes() - before;
    table.add("upstream.attempt.memory", "queued reservation", "bytes",
              static_cast<double>(queued) / held_items);
    for (std::size_t i = 1; i <= held_items; ++i) {
        core.on_event(entry_said{1, cancel_message{{7, i}}}, now);
    }
    table.add("upstream.ended.memory", "ended attempt that is remembered", "bytes",
              static_cast<double>(live_bytes() - before) / held_items);
}

struct configuration_cost {
    double memory{0};
    double text{0};
    double apply_cpu{0};
};

configuration_cost cost_of_configuration(std::size_t workspaces, std::size_t classes)
{
    constexpr int applications = 3;
    const auto text = to_json(make_configuration(workspaces, classes)).dump();
    configuration_cost result;
    result.text = static_cast<double>(text.size());
    result.apply_cpu = cpu_of(applications, [&](int /*round*/) {
        entry_core core(entry_core_settings{});
        auto read = configuration_from_json(text);
        core.on_event(configuration_applied{std::make_shared<const configuration>(std::move(read).value())},
                      time_point(seconds(1)));
    });
    const auto before = live_bytes();
    const auto kept = std::make_shared<const configuration>(configuration_from_json(text).value());
    result.memory = static_cast<double>(live_bytes() - before);
    return result;
}

void add_configuration(slope_table& table)
{
    const auto base = cost_of_configuration(few_workspaces, few_classes);
    const auto wide = cost_of_configuration(many_workspaces, few_classes);
    const auto rich = cost_of_configuration(few_workspaces, many_classes);
    constexpr double workspaces = many_workspaces - few_workspaces;
    constexpr double classes = many_classes - few_classes;
    table.add("workspace.memory", "workspace", "bytes", (wide.memory - base.memory) / workspaces);
    table.add("workspace.text", "workspace", "bytes", (wide.text - base.text) / workspaces);
    table.add("workspace.change_cpu", "workspace, each change", "us",
              (wide.apply_cpu - base.apply_cpu) / workspaces);
    table.add("class.memory", "class", "bytes", (rich.memory - base.memory) / classes);
    table.add("class.text", "class", "bytes", (rich.text - base.text) / classes);
    table.add("class.change_cpu", "class, each change", "us", (rich.apply_cpu - base.apply_cpu) / classes);
    table.add("change.cpu", "change with 2,300 workspaces and 6 classes", "us", wide.apply_cpu);
    table.add("change.bytes", "change with 2,300 workspaces and 6 classes", "bytes", wide.text);
}

void add_daemon(slope_table& table)
{
    json vms = json::array();
    constexpr std::size_t daemons = 960;
    for (std::size_t i = 0; i < daemons; ++i) {
        vms.push_back({{"name", "upstream-" + std::to_string(i)},
                       {"role", "upstream"},
                       {"zone", "zone-1"},
                       {"region", "region-1"},
                       {"address", "10.1.2.3:7000"},
                       {"admin", "10.1.2.3:9000"},
                       {"state", "live"}});
    }
    const auto text = vms.dump();
    table.add("daemon.listed_bytes", "daemon on the platform's list", "bytes",
              static_cast<double>(text.size()) / daemons);
    constexpr int readings = 20;
    table.add("daemon.listed_cpu", "daemon on the platform's list, each reading", "us",
              cpu_of(readings, [&](int /*round*/) { (void)json::parse(text).size(); }) / daemons);
}

void add_run_record(slope_table& table)
{
    run_record record;
    record.workspace = "workspace-17";
    record.key = "order-0123456789";
    record.fingerprint = sha256_hex("body");
    record.attempt = {7, 9};
    record.upstream = "upstream-17";
    record.phase = run_phase::finished;
    record.answer = stored_answer{200, "application/json", std::string(1024, 'a')};
    table.add("run_record.bytes", "run record with an answer of 1,024 bytes", "bytes",
              static_cast<double>(run_record_to_text(record).size()));
    std::size_t read = 0;
    table.add("run_record.cpu", "run record written and read", "us", cpu_of(repeats / 10, [&](int /*round*/) {
                  read += run_record_from_text(run_record_to_text(record))->answer->body.size();
              }));
}

void add_observability(slope_table& table)
{
    const auto build = [](int round) {
        return event_record{
            "request.first_token", "0011223344556677" + std::to_string(100000000000 + round),
            "cutting_guide",       "shop-floor",
            "upstream-17",         "in time: " + std::to_string(round) + " ms, target 330 ms"};
    };
    metrics counts;
    const auto before = live_bytes();
    event_log log("entry-1", static_cast<std::size_t>(repeats));
    for (int i = 0; i < repeats; ++i) {
        log.add(build(i), time_point(seconds(1)));
    }
    table.add("event.memory", "event in the ring", "bytes",
              static_cast<double>(live_bytes() - before) / repeats);
    table.add("event.cpu", "event made, counted and kept", "us", cpu_of(repeats, [&](int round) {
                  const auto record = build(round);
                  counts.event_counted(record.kind);
                  log.add(record, time_point(seconds(1)));
              }));
    measured_request request;
    request.class_name = "class-0";
    request.code = "ok";
    request.ok = true;
    request.first_token = request.total = 1;
    table.add("metrics.cpu", "request measured", "us",
              cpu_of(repeats, [&](int /*round*/) { counts.request_ended(request); }));
}

propagated_item member_statement(std::size_t index)
{
    member_info info;
    info.vm = "upstream-" + std::to_string(index);
    info.role = "upstream";
    info.zone = "zone-1";
    info.region = "region-1";
    info.address = "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7000";
    info.models = {"assistant"};
    soft_item item{info.vm, 1, 1, "member", info.vm, to_item_value(info), std::chrono::hours(1)};
    return {std::move(item), false, ""};
}

void add_members(slope_table& table)
{
    constexpr std::size_t members = 960;
    constexpr int watched_seconds = 60;
    constexpr int ticks_per_second = 20;
    cluster_settings settings;
    settings.self.vm = "entry-1";
    settings.self.role = "entry";
    cluster_core core(settings);
    time_point now(seconds(1000));
    core.on_event(tick{}, now);
    core.on_event(peer_connected{"10.1.0.1:7000"}, now);
    const auto before = live_bytes();
    table.add("member.cpu", "member, each statement taken", "us", cpu_of(members, [&](int index) {
                  const items_message message{{member_statement(static_cast<std::size_t>(index))}};
                  core.on_event(peer_message_received{"10.1.0.1:7000", message}, now);
              }));
    table.add("member.memory", "member of the cluster", "bytes",
              static_cast<double>(live_bytes() - before) / members);
    const auto second = cpu_of(watched_seconds, [&](int /*round*/) {
        for (int i = 0; i < ticks_per_second; ++i) {
            now += seconds(1) / ticks_per_second;
            core.on_event(tick{}, now);
        }
        core.on_event(peer_message_received{"10.1.0.1:7000", heartbeat_message{}}, now);
    });
    table.add("member.idle_cpu", "second of the cluster core with 960 members and one neighbour", "us",
              second);
}

void add_sessions(slope_table& table)
{
    constexpr int sessions = 200;
    const auto cost = measure_sessions(sessions);
    table.add("session.memory", "open peer stream, both ends", "bytes", cost.memory_bytes);
    table.add("session.idle_cpu", "open peer stream, both ends, each second", "us", cost.cpu_us_per_second);
}

} // namespace

std::vector<slope> measure_slopes(std::uint64_t seed, int rounds)
{
    slope_table table;
    for (int round = 0; round < rounds; ++round) {
        add_requests(table, seed + static_cast<std::uint64_t>(round));
        add_entry_memory(table);
        add_upstream_memory(table);
        add_configuration(table);
        add_daemon(table);
        add_run_record(table);
        add_observability(table);
        add_members(table);
    }
    add_sessions(table);
    return table.medians();
}

} // namespace clementinegap
