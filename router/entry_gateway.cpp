#include "router/entry_gateway.h"

#include "core/digest.h"

namespace clementinegap {
namespace {

/// Retry-After when there is no memory for a request body; the responses of a moment have been read then.
constexpr duration memory_retry_after = milliseconds(500);

} // namespace

entry_gateway::entry_gateway(event_loop& loop, request_router& router, decision_log& log, metrics& counters,
                             std::function<void(soft_state_item)> publish, quarantine_recorder record,
                             stream_message_sender send_message, suspicion_recorder record_suspicions,
                             usage_counter count_usage)
    : loop_(loop), router_(router), log_(log), counters_(counters), publish_(std::move(publish)),
      record_(std::move(record)), send_message_(std::move(send_message)),
      record_suspicions_(std::move(record_suspicions)), count_usage_(std::move(count_usage)), pool_(loop),
      peers_(loop.peers()), listener_(loop, [this](uv_stream_t* listening) { on_connection(listening); })
{
    router_.set_connections(&pool_);
}

entry_gateway::~entry_gateway()
{
    router_.set_connections(nullptr);
    for (auto& [number, each] : exchanges_) {
        each->stop_send();
    }
}

void entry_gateway::on_connection(uv_stream_t* listening)
{
    auto connection = std::make_unique<http_server_connection>(loop_, *this, limits(), &peers_);
    if (!connection->accept(listening, keepalive_limits{})) {
        return;
    }
    auto* key = connection.get();
    callers_[key].connection = std::move(connection);
}

server_limits entry_gateway::limits() const
{
    const auto* table = router_.table();
    const auto configured = table == nullptr ? caller_limits{} : table->limits();
    return {configured.header_bytes, configured.body_bytes, configured.header_timeout,
            configured.idle_timeout};
}

void entry_gateway::on_request(http_server_connection& from, http_head head, std::string body)
{
    request_arrived event;
    if (const auto fault = decode_request(head, event)) {
        log_.write({"request.malformed", event.id, "", fault->text});
        from.write_response(error_response(fault->status, fault->text));
        from.end_response(true);
        return;
    }
    event.request = ++last_request_;
    event.body_hash = hash64(body);
    from.set_limits(limits());
    callers_[&from].request = event.request;
    exchanges_[event.request] =
        std::make_unique<exchange>(*this, from, event.request, event.id, std::move(head), std::move(body));
    post(std::move(event));
}

std::string entry_gateway::error_response(int status, std::string_view text)
{
    log_.write({"request.malformed", "", "", std::to_string(status) + " " + std::string(text)});
    respond_to_caller answer;
    answer.status = status;
    answer.code = status == 413   ? result_code::body_too_large
                  : status == 408 ? result_code::sender_too_slow
                  : status == 503 ? result_code::overloaded
                                  : result_code::bad_header;
    if (status == 503) {
        answer.retry_after = memory_retry_after;
    }
    return encode_own_answer(answer, "", true);
}

void entry_gateway::on_disconnected(http_server_connection& from)
{
    const auto found = callers_.find(&from);
    if (found == callers_.end()) {
        return;
    }
    const auto request = found->second.request;
    closed_connections_.push_back(std::move(found->second.connection));
    callers_.erase(found);
    if (auto* open = find(request)) {
        open->caller_disconnected();
        post(caller_left{request});
    }
}

void entry_gateway::on_written(http_server_connection& from)
{
    const auto found = callers_.find(&from);
    if (found == callers_.end()) {
        return;
    }
    if (auto* open = find(found->second.request)) {
        open->resume_reading();
    }
}

void entry_gateway::apply(const log_decision& action)
{
    counters_.event_counted(action.event);
    log_.write(action);
}

void entry_gateway::apply(const measure_request& action)
{
    const auto in_seconds = [](duration value) { return std::chrono::duration<double>(value).count(); };
    measured_request measured;
    measured.class_name = action.route;
    measured.code = describe(action.code).name;
    measured.tier = action.urgency;
    measured.ok = action.code == result_code::ok;
    measured.target_met = action.on_time;
    measured.first_token = in_seconds(action.first_event);
    measured.total = in_seconds(action.total);
    measured.dispatches = action.sends;
    counters_.request_ended(measured);
}

exchange* entry_gateway::find(request_number number)
{
    const auto found = exchanges_.find(number);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

void entry_gateway::post(router_event event)
{
    pending_events_.push_back(std::move(event));
    if (dispatching_) {
        return;
    }
    dispatching_ = true;
    while (!pending_events_.empty()) {
        const auto next = std::move(pending_events_.front());
        pending_events_.pop_front();
        dispatch(next);
    }
    dispatching_ = false;
}

void entry_gateway::dispatch(const router_event& event)
{
    for (const auto& action : router_.on_event(event, event_loop::now())) {
        std::visit([this](const auto& each) { apply(each); }, action);
    }
    // A request whose caller has disconnected needs no response.
    if (const auto* left = std::get_if<caller_left>(&event)) {
        exchange_finished(left->request);
    }
}

void entry_gateway::apply(const send_request& action)
{
    if (auto* open = find(action.request)) {
        open->send(action);
    }
}

void entry_gateway::apply(const respond_to_caller& action)
{
    if (auto* open = find(action.request)) {
        open->respond(action);
    }
}

void entry_gateway::apply(const pass_failure& action)
{
    if (auto* open = find(action.request)) {
        open->pass_failure();
    }
}

void entry_gateway::apply(const abort_caller& action)
{
    if (auto* open = find(action.request)) {
        open->abort_caller();
    }
}

void entry_gateway::apply(const stop_send& action)
{
    if (auto* open = find(action.request)) {
        open->stop_send();
    }
}

void entry_gateway::apply(const recall_unsent& action)
{
    for (auto& [number, each] : exchanges_) {
        each->recall_unsent(action.upstream);
    }
}

void entry_gateway::exchange_finished(request_number number)
{
    const auto found = exchanges_.find(number);
    if (found == exchanges_.end()) {
        return;
    }
    found->second->stop_send();
    finished_exchanges_.push_back(std::move(found->second));
    exchanges_.erase(found);
}

void entry_gateway::sweep(time_point now)
{
    finished_exchanges_.clear();
    closed_connections_.clear();
    pool_.sweep(now);
    // A caller that reads slowly may never have taken all that is queued, and an upstream that is not read
    // for some seconds closes the connection.
    for (const auto& [number, each] : exchanges_) {
        each->resume_reading();
    }
    std::vector<http_server_connection*> due;
    for (const auto& [connection, each] : callers_) {
        if (connection->due() <= now) {
            due.push_back(connection);
        }
    }
    for (auto* each : due) {
        each->on_due(now);
    }
    loop_.peers().check(now);
}

bool entry_gateway::close_idle()
{
    std::vector<http_server_connection*> idle;
    bool all_delivered = true;
    for (const auto& [connection, each] : callers_) {
        if (connection->undelivered() > 0) {
            all_delivered = false;
        } else if (connection->idle()) {
            idle.push_back(connection);
        }
    }
    for (auto* each : idle) {
        each->close_idle();
    }
    return exchanges_.empty() && all_delivered;
}

} // namespace clementinegap
