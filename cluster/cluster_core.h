#pragma once

#include "cluster/cluster_events.h"
#include "cluster/neighbours.h"
#include "cluster/polling.h"

#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace clementinegap {

struct cluster_settings {
    member_info self;
    std::uint64_t incarnation{1}; ///< Increases with each start: the time of the start in microseconds.
    std::uint64_t seed{1};
    std::vector<std::string> seeds; ///< Addresses to dial while no member is known.
    duration min_poll_interval{milliseconds(200)};
    std::size_t max_items{200'000};
};

/// One daemon's part of the cluster protocol: soft state, membership and propagation of the configuration.
/// Driven by events only, without I/O of its own. Safety does not depend on any of its state.
class cluster_core {
public:
    explicit cluster_core(cluster_settings settings);

    std::span<const cluster_action> on_event(const cluster_event& event, time_point now);
    time_point next_due() const;

    const membership& members() const { return members_; }
    const configuration_sync& configuration() const { return configuration_; }
    const overlay_store& items() const { return store_; }
    std::size_t connected() const { return peers_.size(); }

private:
    struct peer {
        time_point last_received_at;
        time_point buckets_sent_at;
    };
    struct unresponsive_peer {
        time_point since;
        time_point report_at;
    };

    void handle(const peer_connected& event);
    void handle(const peer_disconnected& event);
    void handle(const peer_message_received& event);
    void handle(const head_polled& event);
    void handle(const configuration_fetched& event);
    void handle(const members_polled& event);
    void handle(const item_published& event);
    void handle(const leave_requested& event);
    void handle(const tick& event);

    void handle_message(const std::string& address, const heartbeat_message& message);
    void handle_message(const std::string& address, const items_message& message);
    void handle_message(const std::string& address, const buckets_message& message);
    void handle_message(const std::string& address, const configuration_request& message);
    void handle_message(const std::string& address, const configuration_reply& message);

    void send_heartbeats();
    void poll();
    void check_neighbours();
    void run_periodic_tasks();
    void announce_self();
    void accept_item(const propagated_item& item, const std::string& from);
    void forward_item(const propagated_item& item, const std::string& from);
    void apply_member_item(const soft_item& item);
    void refute(const soft_item& item);
    void publish_leaving_marks();
    void on_members_changed();
    void update_neighbours();
    std::string next_probe(std::vector<std::string> others);
    void request_configuration();
    void apply_received_configuration(const std::string& source, const std::string& text);
    void queue_item(const std::string& address, propagated_item item);
    void flush_items();
    heartbeat_message make_heartbeat(bool is_answer) const;
    void emit(cluster_action action) { actions_.push_back(std::move(action)); }
    void record(std::string kind, std::string detail);

    cluster_settings settings_;
    std::mt19937_64 random_;
    time_point now_;
    std::vector<cluster_action> actions_;

    overlay_store store_;
    membership members_;
    member_ring ring_;
    configuration_sync configuration_;
    std::uint64_t sequence_{0};
    bool leave_notice_reported_{false};

    std::map<std::string, peer> peers_;
    std::map<std::string, unresponsive_peer> unresponsive_;
    std::map<std::string, items_message> outgoing_;
    std::vector<std::string> streams_;
    std::string probe_;

    fleet_poll head_poll_;
    fleet_poll list_poll_;
    time_point next_heartbeat_;
    time_point next_expiry_;
    time_point next_probe_;
    time_point next_announcement_;
};

} // namespace clementinegap
