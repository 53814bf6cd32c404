#pragma once

#include "adapters/decision_thread.h"
#include "adapters/engine_gateway.h"
#include "adapters/peer_server.h"
#include "adapters/run_store.h"
#include "main/daemon_base.h"
#include "main/order_service.h"
#include "request/upstream_core.h"

#include <memory>

namespace clementinegap {

/// A daemon in the upstream role.
class upstream_daemon : public daemon_base {
public:
    explicit upstream_daemon(settings values);
    upstream_daemon(const upstream_daemon&) = delete;
    upstream_daemon& operator=(const upstream_daemon&) = delete;
    ~upstream_daemon() override;

protected:
    outcome<void> start() override;
    void begin_drain() override;
    void stop() override;
    void configure(configuration_ptr value) override;
    void members_moved(const std::vector<member_view>& members) override;
    void item_seen(const soft_state_item& item) override;
    bool ready() const override { return ready_; }
    bool take_order(const http_request& request) override;

private:
    using thread = decision_thread<upstream_core, upstream_event, upstream_action>;

    void perform(const upstream_action& action, time_point now);
    /// Publishes gauges after each batch, and the status at most every `status_interval`.
    void observe(const upstream_core& core);

    thread decisions_;
    run_store runs_;
    engine_gateway engine_;
    order_service orders_;
    std::unique_ptr<peer_server> peers_;
    std::atomic<bool> ready_{false};
    time_point observed_at_{};
};

} // namespace clementinegap
