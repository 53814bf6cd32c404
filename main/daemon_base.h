#pragma once

#include "adapters/http_server.h"
#include "adapters/peer_credentials.h"
#include "adapters/platform_client.h"
#include "adapters/runtime.h"
#include "config/configuration.h"
#include "main/settings.h"
#include "observability/event_log.h"
#include "observability/metrics.h"
#include "request/entry_events.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace clementinegap {

/// What both roles share: the admin address, the platform poll, records and metrics, the stop.
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
    /// A newer configuration was read.
    virtual void configure(configuration_ptr value) = 0;
    /// The platform's list was read.
    virtual void vms_listed(const std::vector<listed_vm>& vms) = 0;
    virtual bool ready() const = 0;

    void apply(const emit_record& action, time_point now);
    void drain_finished();
    /// Sets the role's part of the answer to /status; from the decision thread.
    void publish_status(json role_part);
    /// Spreads soft state among the daemons.
    void publish(const soft_item& item);
    static constexpr duration status_interval = milliseconds(500);

    outcome<peer_credentials> load_peer_credentials() const;

    const settings settings_;
    event_log events_;
    metrics metrics_;
    std::unique_ptr<platform_client> platform_;

private:
    outcome<void> start_admin();
    void on_admin(http_request request);
    void on_drain(const http_request& request);
    json status() const;
    std::string metrics_text();
    void begin_stop(std::string_view reason);
    void poll_platform();
    void read_configuration(const read_result& result);
    void stop_polling();

    http_server admin_;
    runtime runtime_;
    std::mutex poll_mutex_;
    std::condition_variable poll_wakeup_;
    bool polling_{false};
    std::thread poll_thread_;
    std::atomic<std::uint64_t> version_{0};
    std::atomic<bool> draining_{false};
    const time_point started_at_{process_now()};
    mutable std::mutex status_mutex_;
    json role_status_;
};

} // namespace clementinegap
