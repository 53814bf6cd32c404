#pragma once

#include "adapters/peer_credentials.h"
#include "ports/peer_port.h"

#include <memory>

namespace clementinegap {

/// The entry daemon's end of the peer protocol, over gRPC: one stream to each upstream daemon, opened again
/// when lost.
class peer_client : public upstream_link {
public:
    peer_client(entry_event_sink sink, peer_credentials credentials);
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
