#pragma once

#include "adapters/http_server.h"
#include "core/outcome.h"
#include "ports/peer_port.h"

#include <string>

namespace clementinegap {

/// Callers' HTTP: turns exchanges into `caller_request` events and gives the core's answers.
class caller_gateway {
public:
    explicit caller_gateway(entry_event_sink sink) : sink_(std::move(sink)) {}

    outcome<void> start(const http_server_options& options);
    void stop() { server_.stop(); }
    std::uint16_t port() const { return server_.port(); }

    void apply(const response_head& action);
    void apply(const response_bytes& action);
    void apply(const response_end& action);
    void apply(const full_response& action);
    void apply(const response_abort& action);

    /// Stops accepting work for good: later requests are told that the VM is leaving.
    http_server& server() { return server_; }

private:
    void on_request(http_request request);
    void refuse(exchange_id exchange, result_code code, std::string detail);

    entry_event_sink sink_;
    http_server server_;
};

/// Reads a received request; `malformed` is set for a body that the path does not allow.
caller_request parse_caller_request(http_request request);

} // namespace clementinegap
