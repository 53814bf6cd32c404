#pragma once

#include "adapters/decision_thread.h"
#include "adapters/http_server.h"
#include "adapters/overlay_link.h"
#include "adapters/peer_credentials.h"
#include "adapters/platform_client.h"
#include "adapters/runtime.h"
#include "cluster/cluster_core.h"
#include "config/configuration.h"
#include "main/settings.h"
#include "observability/event_log.h"
#include "observability/metrics.h"
#include "request/entry_events.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace clementinegap {

/// What both roles share: the admin address, the part in the cluster, records and metrics, the stop.
class daemon_base {
public:
    explicit daemon_base(settings values);
    daemon_base(const daemon_base&) = delete;
    daemon_base& operator=(const daemon_base&) = delete;
    virtual ~daemon_base();

    /// Serves until a planned stop has finished; returns the exit code.
    int run();

protected:
    virtual outcome<void> start() = 0;
    virtual void begin_drain() = 0;
    virtual void stop() = 0;
    /// A newer configuration is in force.
    virtual void configure(configuration_ptr value) = 0;
    /// The view of the deployment's VMs changed.
    virtual void members_moved(const std::vector<member_view>& members) = 0;
    /// An item that another daemon published arrived.
    virtual void item_seen(const soft_state_item& item) = 0;
    virtual bool ready() const = 0;
    /// Takes an engine order of the admin address; only a role with an engine has one.
    virtual bool take_order(const http_request& /*request*/) { return false; }
    /// Answers an admin request with a result code, from any thread.
    void answer_admin(const http_request& request, result_code code);

    void apply(const emit_record& action, time_point now);
    void drain_finished();
    /// Sets the role's part of the answer to /status; from the decision thread.
    void publish_status(json role_part);
    /// Spreads soft state among the daemons.
    void publish(const soft_state_item& item);
    static constexpr duration status_interval = milliseconds(500);

    outcome<peer_credentials> load_peer_credentials() const;
    overlay_link& overlay() { return *overlay_; }

    const settings settings_;
    event_log events_;
    metrics metrics_;
    std::unique_ptr<platform_client> platform_;

private:
    using cluster_thread = decision_thread<cluster_core, cluster_event, cluster_action>;

    outcome<void> start_admin();
    outcome<void> start_overlay();
    void on_admin(http_request request);
    void on_drain(const http_request& request);
    json status() const;
    std::string metrics_text();
    void begin_stop(std::string_view reason);
    void perform(const cluster_action& action, time_point now);
    void read_head();
    void read_configuration();
    void read_members();
    void report(const cluster_core& core);
    void platform_called(std::string_view operation, duration span, bool answered);

    http_server admin_;
    runtime runtime_;
    std::unique_ptr<overlay_link> overlay_;
    cluster_thread cluster_;
    std::atomic<std::uint64_t> version_{0};
    std::atomic<bool> draining_{false};
    std::atomic<bool> platform_answers_{true};
    const time_point started_at_{process_now()};
    mutable std::mutex status_mutex_;
    json role_status_;
};

} // namespace clementinegap
