#pragma once

#include "adapters/peer_credentials.h"
#include "core/outcome.h"
#include "observability/hybrid_clock.h"
#include "ports/peer_port.h"

#include <memory>
#include <string>

namespace grpc {
class Service;
} // namespace grpc

namespace clementinegap {

/// The upstream daemon's end of the peer protocol, over gRPC.
class peer_server : public entry_link {
public:
    /// `clock` stamps the frames that are sent and is moved past those that are received.
    peer_server(upstream_event_sink sink, peer_credentials credentials, hybrid_clock& clock);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    ~peer_server() override;

    /// Serves another protocol on the same port; before `start`.
    void also_serve(grpc::Service& service);
    /// Listens on "IP:port"; port 0 takes a free one.
    outcome<void> start(const std::string& address);
    int port() const;
    /// Ends all sessions and joins what serves them.
    void stop();

    void send(session_id session, const upstream_message& message) override;
    /// Writes what was sent since the last flush. Sending and flushing belong to one thread.
    void flush();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace clementinegap
