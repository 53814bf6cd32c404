#pragma once

#include "core/outcome.h"
#include "request/upstream_events.h"

#include <functional>
#include <string>

/// \file
/// Transport-independent interfaces between entry and upstream daemons.

namespace clementinegap {

/// An entry daemon's connections to upstream daemons. Messages to one VM are delivered in order. The loss of
/// a connection is reported by `upstream_disconnected`, which is the last event of that connection.
class upstream_link {
public:
    upstream_link() = default;
    upstream_link(const upstream_link&) = delete;
    upstream_link& operator=(const upstream_link&) = delete;
    virtual ~upstream_link() = default;

    /// Sets the VMs to stay connected to, as pairs of name and address ("IP:port"); closes other connections.
    virtual void connect_to(const std::vector<std::pair<std::string, std::string>>& upstreams) = 0;
    virtual void send(const std::string& vm, const entry_message& message) = 0;
};

/// An upstream daemon's sessions with entry daemons.
class entry_link {
public:
    entry_link() = default;
    entry_link(const entry_link&) = delete;
    entry_link& operator=(const entry_link&) = delete;
    virtual ~entry_link() = default;

    virtual void send(session_id session, const upstream_message& message) = 0;
};

/// Passes an event to the decision thread; returns false when its ring is full.
using entry_event_sink = std::function<bool(entry_event)>;
using upstream_event_sink = std::function<bool(upstream_event)>;

} // namespace clementinegap
