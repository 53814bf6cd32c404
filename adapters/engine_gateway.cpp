#include "adapters/engine_gateway.h"

#include "adapters/event_stream_scanner.h"

#include <thread>
#include <utility>

namespace clementinegap {
namespace {

/// What the callbacks of one run share; used on the client's thread only.
struct run_state {
    event_stream_scanner scanner;
    bool is_stream{false};
};

engine_end_kind kind_of(const http_end& end, const run_state& state)
{
    switch (end.kind) {
    case http_end_kind::complete: {
        const bool whole = !state.is_stream || state.scanner.end_mark_seen();
        return whole ? engine_end_kind::complete : engine_end_kind::broken;
    }
    case http_end_kind::not_reached:
        return engine_end_kind::not_reached;
    case http_end_kind::broken:
        break;
    }
    return engine_end_kind::broken;
}

} // namespace

engine_gateway::engine_gateway(std::string base_url, upstream_event_sink sink)
    : base_url_(std::move(base_url)), sink_(std::move(sink))
{
}

http_call engine_gateway::call_of(const engine_start& run) const
{
    http_call call;
    call.method = run.method;
    call.url = base_url_ + run.path;
    call.headers = {"X-Request-Id: " + run.request_id, "X-Priority: " + std::to_string(run.priority)};
    if (!run.content_type.empty()) {
        call.headers.push_back("Content-Type: " + run.content_type);
    }
    if (run.resume_from_token > 0) {
        call.headers.push_back("X-Resume-From-Token: " + std::to_string(run.resume_from_token));
    }
    call.body = run.body;
    call.fresh_connection = run.never_repeat;
    return call;
}

void engine_gateway::start(const engine_start& run)
{
    const auto state = std::make_shared<run_state>();
    const run_id id = run.run;
    http_call_events events;
    events.on_head = [this, state, id](std::uint16_t status, std::string_view content_type) {
        state->is_stream = content_type.starts_with("text/event-stream");
        tell(engine_head{id, status, std::string(content_type)});
    };
    events.on_bytes = [this, state, id](std::string_view bytes) {
        const auto tokens = state->is_stream ? state->scanner.feed(bytes) : 1U;
        tell(engine_bytes{id, std::string(bytes), tokens});
    };
    events.on_end = [this, state, id](const http_end& end) {
        {
            const std::lock_guard lock(mutex_);
            calls_.erase(id);
        }
        tell(engine_ended{id, kind_of(end, *state)});
    };
    const std::lock_guard lock(mutex_);
    calls_[id] = {client_.start(call_of(run), std::move(events)), run.request_id};
}

engine_gateway::run_entry engine_gateway::entry_of(run_id run)
{
    const std::lock_guard lock(mutex_);
    const auto found = calls_.find(run);
    return found == calls_.end() ? run_entry{} : found->second;
}

void engine_gateway::steer(run_id run, const std::string& verb)
{
    const auto entry = entry_of(run);
    if (entry.call == 0) {
        return;
    }
    http_call call;
    call.method = "POST";
    call.url = base_url_ + "/v1/requests/" + entry.engine_request + "/" + verb;
    call.timeout = seconds(2);
    client_.start(std::move(call), {});
}

void engine_gateway::pause(run_id run)
{
    steer(run, "pause");
}

void engine_gateway::resume(run_id run)
{
    steer(run, "resume");
}

void engine_gateway::cancel(run_id run)
{
    client_.cancel(entry_of(run).call);
    const std::lock_guard lock(mutex_);
    calls_.erase(run);
}

void engine_gateway::stop_reading(run_id run)
{
    client_.hold(entry_of(run).call);
}

void engine_gateway::resume_reading(run_id run)
{
    client_.read(entry_of(run).call);
}

void engine_gateway::tell(upstream_event event)
{
    // The engine's answer may not lose a piece; waiting here slows the engine's connection down, nothing
    // else.
    while (!sink_(event)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace clementinegap
