#pragma once

#include "core/time.h"
#include "routing/upstream_record.h"

namespace clementinegap {

/// What the decisions may know of this daemon's connections.
class connection_view {
public:
    virtual ~connection_view() = default;
    /// Whether a request can be sent to the upstream without opening a connection.
    virtual bool has_idle_connection(const upstream_record& upstream, time_point now) const = 0;
};

} // namespace clementinegap
