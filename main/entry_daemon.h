#pragma once

#include "adapters/caller_gateway.h"
#include "adapters/decision_thread.h"
#include "adapters/peer_client.h"
#include "main/daemon_base.h"
#include "request/entry_core.h"

#include <map>
#include <memory>
#include <string>

namespace clementinegap {

/// A daemon in the entry role.
class entry_daemon : public daemon_base {
public:
    explicit entry_daemon(settings values);
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;
    ~entry_daemon() override;

protected:
    outcome<void> start() override;
    void begin_drain() override;
    void stop() override;
    void configure(configuration_ptr value) override;
    void members_moved(const std::vector<member_view>& members) override;
    void item_seen(const soft_state_item& item) override;
    bool ready() const override { return ready_; }

private:
    using thread = decision_thread<entry_core, entry_event, entry_action>;

    void perform(const entry_action& action, time_point now);
    void measure(const request_metrics& action);
    /// Publishes gauges after each batch, and the status at most every `status_interval`.
    void observe(const entry_core& core);

    thread decisions_;
    caller_gateway callers_;
    std::unique_ptr<peer_client> peers_;
    std::map<std::string, bool> leaving_; ///< Cluster thread only.
    std::atomic<bool> ready_{false};
    time_point observed_at_{};
};

} // namespace clementinegap
