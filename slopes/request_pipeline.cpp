#include "slopes/request_pipeline.h"

#include "adapters/peer_codec.h"
#include "core/digest.h"
#include "slopes/resource_meter.h"

namespace clementinegap {
namespace {

constexpr std::size_t cores = 3; ///< As many as the entry asks for one request.
constexpr std::uint32_t ample_slots = 1U << 20U;
constexpr std::size_t ring_capacity = 20000;
constexpr duration batch_time = milliseconds(1);
constexpr duration token_time = milliseconds(20);

std::string vm_name(std::size_t index)
{
    return "upstream-" + std::to_string(index);
}

entry_core_settings settings_of_entry(std::uint64_t seed)
{
    entry_core_settings result;
    result.vm = "entry-1";
    result.zone = "zone-1";
    result.seed = seed;
    result.max_requests = ample_slots;
    return result;
}

/// Adds the processor time of its life to a side.
class metered {
public:
    explicit metered(side_cost& cost) : cost_(cost), began_(thread_cpu_us()) {}
    metered(const metered&) = delete;
    metered& operator=(const metered&) = delete;
    ~metered() { cost_.cpu_us += thread_cpu_us() - began_; }

private:
    side_cost& cost_;
    double began_;
};

} // namespace

request_pipeline::request_pipeline(configuration_ptr rules, std::size_t views, std::uint64_t seed)
    : entry_(settings_of_entry(seed)), entry_log_("entry-1", ring_capacity),
      upstream_log_("upstream-0", ring_capacity)
{
    entry_event_in(configuration_applied{rules});
    for (std::size_t i = 0; i < cores; ++i) {
        upstream_settings settings;
        settings.vm = vm_name(i);
        settings.zone = "zone-1";
        settings.models = {"assistant"};
        settings.slots = ample_slots;
        settings.max_queue = ample_slots;
        const auto at = upstreams_.try_emplace(settings.vm, settings).first;
        upstream_event_in(at->first, configuration_applied{rules});
    }
    for (std::size_t i = 0; i < views; ++i) {
        connect(vm_name(i));
    }
    settle();
    entry_cost_ = {};
    upstream_cost_ = {};
}

void request_pipeline::connect(const std::string& vm)
{
    entry_event_in(upstream_connected{vm});
    if (upstreams_.contains(vm)) {
        upstream_event_in(vm, entry_connected{1});
        return;
    }
    hello_message hello;
    hello.vm = vm;
    hello.zone = "zone-2";
    hello.models = {"assistant"};
    hello.slots = 8;
    entry_event_in(upstream_message_received{vm, hello});
    load_message load;
    load.queued = 10;
    load.expected_wait = seconds(10);
    entry_event_in(upstream_message_received{vm, load});
}

void request_pipeline::run(const pipeline_load& load)
{
    caller_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.content_type = "application/json";
    request.key_sha256 = sha256_hex("key-0");
    request.class_name = "class-0";
    request.model = "assistant";
    request.stream = true;
    request.body.assign(load.body_bytes, 'b');
    {
        const metered meter(entry_cost_);
        for (std::size_t i = 0; i < load.requests; ++i) {
            request.caller = ++last_caller_;
            entry_event_in(request);
        }
    }
    settle();
    const auto started = std::move(runs_);
    runs_.clear();
    {
        const metered meter(upstream_cost_);
        for (const auto& [vm, run] : started) {
            upstream_event_in(vm, engine_head{run, 200, "text/event-stream"});
        }
    }
    const std::string token(load.token_bytes, 't');
    for (std::uint32_t i = 0; i < load.tokens; ++i) {
        now_ += token_time;
        {
            const metered meter(upstream_cost_);
            for (const auto& [vm, run] : started) {
                upstream_event_in(vm, engine_bytes{run, token, 1});
            }
        }
        settle();
    }
    {
        const metered meter(upstream_cost_);
        for (const auto& [vm, run] : started) {
            upstream_event_in(vm, engine_ended{run, engine_end_kind::complete});
        }
    }
    settle();
}

void request_pipeline::settle()
{
    while (!to_upstreams_.empty() || !to_entry_.empty()) {
        now_ += batch_time;
        const auto down = std::exchange(to_upstreams_, {});
        {
            const metered meter(upstream_cost_);
            wire::entry_message message;
            for (const auto& [vm, bytes] : down) {
                message.ParseFromString(bytes);
                upstream_event_in(vm, entry_message_received{1, *decode(message)});
            }
        }
        const auto up = std::exchange(to_entry_, {});
        const metered meter(entry_cost_);
        wire::upstream_message message;
        for (const auto& [vm, bytes] : up) {
            message.ParseFromString(bytes);
            entry_event_in(upstream_message_received{vm, *decode(message)});
        }
    }
}

void request_pipeline::entry_event_in(const entry_event& event)
{
    for (const auto& action : entry_.on_event(event, now_)) {
        apply(action);
    }
}

void request_pipeline::upstream_event_in(const std::string& vm, const upstream_event& event)
{
    for (const auto& action : upstreams_.find(vm)->second.on_event(event, now_)) {
        apply(vm, action);
    }
}

void request_pipeline::apply(const entry_action& action)
{
    if (const auto* sent = std::get_if<send_to_upstream>(&action)) {
        wire::entry_message message;
        encode(sent->message, message);
        auto bytes = message.SerializeAsString();
        ++entry_cost_.messages;
        entry_cost_.bytes += bytes.size();
        if (upstreams_.contains(sent->vm)) {
            to_upstreams_.emplace_back(sent->vm, std::move(bytes));
        }
    } else if (const auto* emitted = std::get_if<emit_record>(&action)) {
        record(entry_log_, entry_metrics_, entry_cost_, emitted->record);
    } else if (const auto* measured = std::get_if<request_metrics>(&action)) {
        measured_request request;
        request.class_name = measured->class_name;
        request.code = describe(measured->code).name;
        request.ok = measured->code == result_code::ok;
        request.tokens = measured->tokens;
        entry_metrics_.request_ended(request);
        completed_ += request.ok ? 1 : 0;
    }
}

void request_pipeline::apply(const std::string& vm, const upstream_action& action)
{
    if (const auto* sent = std::get_if<send_to_entry>(&action)) {
        wire::upstream_message message;
        encode(sent->message, message);
        auto bytes = message.SerializeAsString();
        ++upstream_cost_.messages;
        upstream_cost_.bytes += bytes.size();
        to_entry_.emplace_back(vm, std::move(bytes));
    } else if (const auto* started = std::get_if<engine_start>(&action)) {
        runs_.emplace_back(vm, started->run);
    } else if (const auto* emitted = std::get_if<emit_record>(&action)) {
        record(upstream_log_, upstream_metrics_, upstream_cost_, emitted->record);
    }
}

void request_pipeline::record(event_log& log, metrics& counts, side_cost& cost,
                              const event_record& value) const
{
    counts.event_counted(value.kind);
    log.add(value, now_);
    ++cost.records;
}

} // namespace clementinegap
