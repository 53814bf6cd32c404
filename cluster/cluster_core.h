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
    std::uint64_t incarnation{1}; ///< Grows with each start: the start's time in microseconds.
    std::uint64_t seed{1};
    std::vector<std::string> seeds; ///< Addresses to dial while no member is known.
    duration least_poll{milliseconds(200)};
    std::size_t max_items{200'000};
};

/// One daemon's part in the cluster: soft state, membership, and the spread of the configuration. Decides on
/// events alone; it holds nothing that safety depends on.
class cluster_core {
public:
    explicit cluster_core(cluster_settings settings);

    std::span<const cluster_action> on_event(const cluster_event& event, time_point now);
    time_point next_due() const;

    const membership& members() const { return members_; }
    const configuration_spread& configuration() const { return spread_; }
    const overlay_store& items() const { return store_; }
    std::size_t connected() const { return peers_.size(); }

private:
    struct peer {
        time_point heard;
        time_point summarized;
    };
    struct unanswered_peer {
        time_point since;
        time_point report_at;
    };

    void handle(const peer_connected& event);
    void handle(const peer_disconnected& event);
    void handle(const peer_said& event);
    void handle(const head_polled& event);
    void handle(const configuration_fetched& event);
    void handle(const members_polled& event);
    void handle(const item_published& event);
    void handle(const leave_requested& event);
    void handle(const tick& event);

    void hear(const std::string& address, const heartbeat_message& message);
    void hear(const std::string& address, const items_message& message);
    void hear(const std::string& address, const buckets_message& message);
    void hear(const std::string& address, const configuration_request& message);
    void hear(const std::string& address, const configuration_reply& message);

    void beat();
    void poll();
    void watch_neighbours();
    void refresh();
    void state_self();
    void take(const spread_item& item, const std::string& from);
    void pass_on(const spread_item& item, const std::string& from);
    void take_member_item(const soft_state_item& item);
    void refute(const soft_state_item& item);
    void mark_listed_leaving();
    void members_moved();
    void keep_neighbours();
    std::string next_probe(std::vector<std::string> others);
    void seek_configuration();
    void take_configuration(const std::string& source, const std::string& text);
    void queue_item(const std::string& address, spread_item item);
    void flush_items();
    heartbeat_message beat_message(bool is_answer) const;
    void act(cluster_action action) { actions_.push_back(std::move(action)); }
    void record(std::string kind, std::string detail);

    cluster_settings settings_;
    std::mt19937_64 random_;
    time_point now_;
    std::vector<cluster_action> actions_;

    overlay_store store_;
    membership members_;
    member_ring ring_;
    configuration_spread spread_;
    std::uint64_t sequence_{0};
    bool told_to_leave_{false};

    std::map<std::string, peer> peers_;
    std::map<std::string, unanswered_peer> unanswered_;
    std::map<std::string, items_message> outgoing_;
    std::vector<std::string> streams_;
    std::string probe_;

    shared_poll head_poll_;
    shared_poll list_poll_;
    time_point next_beat_;
    time_point next_expiry_;
    time_point next_probe_;
    time_point next_statement_;
};

} // namespace clementinegap
