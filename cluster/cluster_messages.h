#pragma once

#include "cluster/configuration_spread.h"
#include "cluster/overlay_store.h"
#include "core/soft_state.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// What daemons say to each other over the overlay.

namespace clementinegap {

/// Sent every second to each neighbour and answered: liveness, the configuration in force, and a digest of
/// the reconciled items.
struct heartbeat_message {
    configuration_head configuration;
    std::uint64_t digest{0};
    bool is_answer{false};
};

/// An item on its way; `lifetime` is what is left of it.
struct spread_item {
    soft_state_item item;
    bool urgent{false}; ///< Goes to every neighbour; otherwise along a tree, once to each daemon.
    std::string limit;  ///< The end of the part of the ring that the receiver passes it on to.
};

struct items_message {
    std::vector<spread_item> items;
};

/// The sender's bucket hashes; the receiver answers with its items of the buckets that differ.
struct buckets_message {
    std::vector<std::uint64_t> hashes;
};

/// Asks for the configuration in force at the receiver.
struct configuration_request {};

struct configuration_reply {
    std::string text;
};

using cluster_message = std::variant<heartbeat_message, items_message, buckets_message, configuration_request,
                                     configuration_reply>;

} // namespace clementinegap
