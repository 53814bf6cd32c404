#pragma once

#include "adapters/peer_credentials.h"
#include "cluster/cluster_events.h"
#include "core/outcome.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace grpc {
class Service;
} // namespace grpc

namespace clementinegap {

/// Takes an event to the cluster core's thread; false when its ring is full.
using cluster_event_sink = std::function<bool(cluster_event)>;

/// The overlay over gRPC: one stream to each address that the core wants to keep, and those that peers open.
class overlay_link {
public:
    /// `address` is where peers reach this daemon; empty when it only dials out.
    overlay_link(cluster_event_sink sink, std::string vm, std::string address, peer_credentials credentials);
    overlay_link(const overlay_link&) = delete;
    overlay_link& operator=(const overlay_link&) = delete;
    ~overlay_link();

    /// For a server that also serves another protocol.
    grpc::Service& service();
    /// Listens for the overlay alone.
    outcome<void> listen(const std::string& address);

    void maintain_streams(const std::vector<std::string>& addresses);
    void send(const std::string& address, const cluster_message& message);
    /// Ends all streams; a server of another owner must be stopped after this.
    void stop();

    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace clementinegap
