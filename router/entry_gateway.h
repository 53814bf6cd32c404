#pragma once

#include "net/tcp_connection.h"
#include "observability/metrics.h"
#include "router/decision_log.h"
#include "router/exchange.h"
#include "router/upstream_pool.h"
#include "routing/request_router.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Connects callers' HTTP connections, the request router and the upstream connections: translates network
/// input into router events and executes the router's actions.
class entry_gateway final : public exchange::gateway_interface, public http_server_connection::handler {
public:
    /// Writes the record of a quarantined prompt part to the store, or removes it.
    using quarantine_recorder =
        std::function<void(std::uint64_t part, const std::optional<quarantined_part>& quarantined)>;
    using stream_message_sender = std::function<void(const send_stream_message&)>;
    /// Counts a request of this workspace that began to run.
    using usage_counter = std::function<void(std::string_view workspace)>;
    /// Writes the row with the suspicions of this daemon to the store.
    using suspicion_recorder = std::function<void(std::span<const suspicion>)>;

    entry_gateway(
        event_loop& loop, request_router& router, decision_log& log, metrics& counters,
        std::function<void(soft_state_item)> publish,
        quarantine_recorder record = [](std::uint64_t, const auto&) {},
        stream_message_sender send_message = [](const auto&) {},
        suspicion_recorder record_suspicions = [](const auto&) {},
        usage_counter count_usage = [](std::string_view) {});
    ~entry_gateway() override;
    entry_gateway(const entry_gateway&) = delete;
    entry_gateway& operator=(const entry_gateway&) = delete;

    bool listen(const endpoint& address)
    {
        return listener_.listen(address.ip, address.port, receive_buffer_bytes);
    }
    /// The number of callers' connections; above it those that do not get on are closed.
    void set_connection_limit(std::size_t connections) { peers_.set_limit(connections); }
    std::size_t caller_connections() const { return peers_.size(); }
    std::uint16_t port() const { return listener_.port(); }

    /// Passes an event to the router and executes the resulting actions. Events posted during this are
    /// queued.
    void post(router_event event) override;
    /// Applies timeouts and destroys finished objects; to be called about every `sweep_interval`.
    void sweep(time_point now);
    /// From now on, every response closes its connection.
    void stop_accepting_work() { stopping_ = true; }
    /// Closes idle caller connections. \returns whether no request is open and the callers have received all
    /// responses.
    bool close_idle();
    std::size_t open_requests() const { return exchanges_.size(); }

    static constexpr duration sweep_interval = milliseconds(100);

private:
    /// Receive buffer of callers' connections, which counts as memory while the daemon does not read.
    static constexpr std::size_t receive_buffer_bytes = std::size_t{16} * 1024;

    struct caller {
        std::unique_ptr<http_server_connection> connection;
        request_number request{0}; ///< The request in progress; 0: none.
    };

    upstream_pool& pool() override { return pool_; }
    bool stopping() const override { return stopping_; }
    byte_budget& buffers() override { return loop_.buffers(); }
    void exchange_finished(request_number number) override;

    void on_connection(uv_stream_t* listening);
    void on_request(http_server_connection& from, http_head head, std::string body) override;
    std::string error_response(int status, std::string_view text) override;
    void on_disconnected(http_server_connection& from) override;
    void on_written(http_server_connection& from) override;

    void dispatch(const router_event& event);
    exchange* find(request_number number);
    server_limits limits() const;

    void apply(const send_request& action);
    void apply(const respond_to_caller& action);
    void apply(const pass_failure& action);
    void apply(const abort_caller& action);
    void apply(const stop_send& action);
    void apply(const recall_unsent& action);
    void apply(const log_decision& action);
    void apply(const measure_request& action);
    void apply(const count_usage& action) { count_usage_(action.workspace); }
    void apply(const publish_soft_state& action) { publish_(action.item); }
    void apply(const record_quarantine& action) { record_(action.quarantined.part, action.quarantined); }
    void apply(const remove_quarantine_record& action) { record_(action.part, std::nullopt); }
    void apply(const record_suspicions& action) { record_suspicions_(action.suspicions); }
    void apply(const send_stream_message& action) { send_message_(action); }

    event_loop& loop_;
    request_router& router_;
    decision_log& log_;
    metrics& counters_;
    std::function<void(soft_state_item)> publish_;
    quarantine_recorder record_;
    stream_message_sender send_message_;
    suspicion_recorder record_suspicions_;
    usage_counter count_usage_;
    upstream_pool pool_;
    peer_connections::group peers_;
    tcp_listener listener_;
    std::unordered_map<http_server_connection*, caller> callers_;
    std::unordered_map<request_number, std::unique_ptr<exchange>> exchanges_;
    std::vector<std::unique_ptr<exchange>> finished_exchanges_;
    std::vector<std::unique_ptr<http_server_connection>> closed_connections_;
    std::deque<router_event> pending_events_;
    bool dispatching_{false};
    bool stopping_{false};
    request_number last_request_{0};
};

} // namespace clementinegap
