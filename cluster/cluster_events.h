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
/// What the cluster core is told and what it asks for. Peers are named by their address.

namespace clementinegap {

struct peer_connected {
    std::string address;
};

struct peer_disconnected {
    std::string address;
};

struct peer_said {
    std::string address;
    cluster_message message;
};

/// The answer to `poll_head`; nothing when the store cannot be reached.
struct head_polled {
    std::optional<configuration_head> head;
};

/// The answer to `fetch_configuration`; empty when the store cannot be reached.
struct configuration_fetched {
    std::string text;
};

/// The answer to `poll_members`.
struct members_polled {
    std::optional<std::vector<listed_member>> members;
};

/// A part of this daemon states something; origin, incarnation and sequence are filled in here.
struct item_published {
    soft_state_item item;
};

/// This daemon begins a planned stop.
struct leave_requested {};

using cluster_event =
    std::variant<peer_connected, peer_disconnected, peer_said, head_polled, configuration_fetched,
                 members_polled, item_published, leave_requested, tick>;

/// Keeps streams to exactly these addresses, beside those that peers opened.
struct keep_streams {
    std::vector<std::string> addresses;
};

struct send_to_peer {
    std::string address;
    cluster_message message;
};

struct poll_head {};
struct fetch_configuration {};
struct poll_members {};

/// A newer configuration is in force from now on.
struct apply_configuration {
    configuration_ptr value;
};

/// An item of another daemon arrived that the roles' cores may use.
struct deliver_item {
    soft_state_item item;
};

/// The view of the members changed.
struct members_changed {
    std::vector<member_view> members;
};

/// The platform says that this VM is leaving.
struct told_to_leave {};

struct cluster_record {
    event_record record;
};

using cluster_action =
    std::variant<keep_streams, send_to_peer, poll_head, fetch_configuration, poll_members,
                 apply_configuration, deliver_item, members_changed, told_to_leave, cluster_record>;

} // namespace clementinegap
