#pragma once

#include <cstddef>

namespace clementinegap {

/// What the machine lets a process have.
struct machine_limits {
    std::size_t memory_bytes{0};
    std::size_t descriptors{0};
};

/// The limits that the system has set for this process and its machine.
machine_limits limits_of_machine();

/// Settings that take precedence over the limits that follow from the machine; 0: none.
struct peer_limit_settings {
    std::size_t buffer_mb{0};
    std::size_t caller_connections{0};
    /// What the server takes for each connection without counting it; all of them may take as much again as
    /// the buffers.
    std::size_t uncounted_connection_bytes{0};
};

/// The memory that peers may make a process hold, and the connections that they may open to it. The rest is
/// for the process itself and for its own connections, of which each request that is handled needs one.
struct peer_limits {
    std::size_t buffer_bytes{0};  ///< Above it, nobody buffers more than a small share.
    std::size_t ceiling_bytes{0}; ///< Above it, connections are closed.
    std::size_t caller_connections{0};
    std::size_t daemon_connections{0}; ///< Opened by other daemons.
    std::size_t probe_connections{0};  ///< To the address of probes and metrics.
};

peer_limits limits_of_peers(const peer_limit_settings& settings, const machine_limits& machine);

} // namespace clementinegap
