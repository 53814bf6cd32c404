#pragma once

#include "adapters/peer_credentials.h"
#include "observability/hybrid_clock.h"
#include "ports/peer_port.h"

#include <memory>

namespace clementinegap {

/// The entry daemon's end of the peer protocol, over gRPC: one stream to each upstream daemon, opened again
/// when lost.
class peer_client : public upstream_link {
public:
    /// `clock` stamps the frames that are sent and is moved past those that are received.
    peer_client(entry_event_sink sink, peer_credentials credentials, hybrid_clock& clock);
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    ~peer_client() override;

    void connect_to(const std::vector<std::pair<std::string, std::string>>& upstreams) override;
    void send(const std::string& vm, const entry_message& message) override;
    /// Writes what was sent since the last flush. Sending and flushing belong to one thread.
    void flush();
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace clementinegap
