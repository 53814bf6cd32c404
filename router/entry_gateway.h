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
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// Joins callers' connections, the router and the upstreams: turns what arrives into the router's events and
/// carries out its actions.
class entry_gateway final : public exchange::owner, public http_server_connection::handler {
public:
    entry_gateway(event_loop& loop, request_router& router, decision_log& log, metrics& counters,
                  std::function<void(soft_item)> spread);
    ~entry_gateway() override;
    entry_gateway(const entry_gateway&) = delete;
    entry_gateway& operator=(const entry_gateway&) = delete;

    bool listen(const endpoint& address) { return listener_.listen(address.ip, address.port); }
    std::uint16_t port() const { return listener_.port(); }

    /// Hands an event to the router and carries out what it orders.
    void post(router_event event) override;
    /// Time-outs, clean-up; called about every `sweep_interval`.
    void sweep(time_point now);
    /// From now on each answer ends its connection.
    void stop_accepting_work() { stopping_ = true; }
    /// Closes connections that wait for nothing; returns whether no request is open.
    bool close_idle();
    std::size_t open_requests() const { return exchanges_.size(); }

    static constexpr duration sweep_interval = milliseconds(100);

private:
    struct caller {
        std::unique_ptr<http_server_connection> connection;
        request_number request{0}; ///< The request that is being answered; 0: none.
    };

    upstream_pool& pool() override { return pool_; }
    bool stopping() const override { return stopping_; }
    void exchange_ended(request_number number) override;

    void on_connection(uv_stream_t* listening);
    void on_request(http_server_connection& from, http_head head, std::string body) override;
    std::string answer_fault(int status, std::string_view text) override;
    void on_gone(http_server_connection& from) override;
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
    void apply(const publish_soft_state& action) { spread_(action.item); }

    event_loop& loop_;
    request_router& router_;
    decision_log& log_;
    metrics& counters_;
    std::function<void(soft_item)> spread_;
    upstream_pool pool_;
    tcp_listener listener_;
    std::unordered_map<http_server_connection*, caller> callers_;
    std::unordered_map<request_number, std::unique_ptr<exchange>> exchanges_;
    std::vector<std::unique_ptr<exchange>> ended_;
    std::vector<std::unique_ptr<http_server_connection>> gone_;
    std::deque<router_event> queue_;
    bool dispatching_{false};
    bool stopping_{false};
    request_number last_request_{0};
};

} // namespace clementinegap
