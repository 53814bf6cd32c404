#pragma once

#include "adapters/peer_credentials.h"
#include "core/outcome.h"
#include "ports/peer_port.h"

#include <memory>
#include <string>

namespace clementinegap {

/// The upstream daemon's end of the peer protocol, over gRPC.
class peer_server : public entry_link {
public:
    peer_server(upstream_event_sink sink, peer_credentials credentials);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    ~peer_server() override;

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
