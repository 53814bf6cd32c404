#pragma once

#include "cluster/cluster_messages.h"
#include "cluster/membership.h"
#include "core/event_record.h"
#include "core/tick.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Events and actions of the cluster core. Peers are identified by their address.

namespace clementinegap {

struct peer_connected {
    std::string address;
};

struct peer_disconnected {
    std::string address;
};

struct peer_message_received {
    std::string address;
    cluster_message message;
};

/// The result of `poll_head`; nothing when the store is unreachable.
struct head_polled {
    std::optional<configuration_head> head;
};

/// The result of `fetch_configuration`; empty when the store is unreachable.
struct configuration_fetched {
    std::string text;
};

/// The result of `poll_members`; nothing when the list could not be read.
struct members_polled {
    std::optional<std::vector<listed_member>> members;
};

/// A component of this daemon publishes an item; the core fills in origin, incarnation and sequence.
struct item_published {
    soft_item item;
};

/// This daemon begins a planned shutdown.
struct leave_requested {};

using cluster_event =
    std::variant<peer_connected, peer_disconnected, peer_message_received, head_polled, configuration_fetched,
                 members_polled, item_published, leave_requested, tick>;

/// Maintains streams to exactly these addresses, in addition to those that peers opened.
struct maintain_streams {
    std::vector<std::string> addresses;
};

struct send_to_peer {
    std::string address;
    cluster_message message;
};

struct poll_head {};
struct fetch_configuration {};
struct poll_members {};

/// Puts a newer configuration in force.
struct apply_configuration {
    configuration_ptr value;
};

/// Delivers an item of another daemon to the core of this daemon's role.
struct deliver_item {
    soft_item item;
};

/// The view of the members changed.
struct members_changed {
    std::vector<member_view> members;
};

/// The platform's list marks this VM as leaving.
struct platform_leave_notice {};

struct cluster_record {
    event_record record;
};

using cluster_action =
    std::variant<maintain_streams, send_to_peer, poll_head, fetch_configuration, poll_members,
                 apply_configuration, deliver_item, members_changed, platform_leave_notice, cluster_record>;

} // namespace clementinegap
