#pragma once

#include "cluster/configuration_sync.h"
#include "cluster/overlay_store.h"
#include "core/soft_state.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The messages that daemons exchange over the overlay.

namespace clementinegap {

/// Sent every second to each neighbour, which replies with its own. Carries the head of the configuration in
/// force and a digest of the reconciled items, and shows that the sender is alive.
struct heartbeat_message {
    configuration_head configuration;
    std::uint64_t digest{0};
    bool is_answer{false};
};

/// A soft state item in transit; its `lifetime` is the remaining one.
struct propagated_item {
    soft_item item;
    bool urgent{false}; ///< Flooded to every neighbour; otherwise sent along a tree, once to each daemon.
    std::string limit;  ///< End (exclusive) of the ring section to which the receiver forwards the item.
};

struct items_message {
    std::vector<propagated_item> items;
};

/// The sender's bucket hashes; the receiver replies with its items of the buckets that differ.
struct buckets_message {
    std::vector<std::uint64_t> hashes;
};

/// Requests the configuration in force at the receiver.
struct configuration_request {};

struct configuration_reply {
    std::string text;
};

using cluster_message = std::variant<heartbeat_message, items_message, buckets_message, configuration_request,
                                     configuration_reply>;

} // namespace clementinegap
