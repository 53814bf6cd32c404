#pragma once

namespace clementinegap {

/// What one open and idle peer stream costs, both of its ends together.
struct session_cost {
    double memory_bytes{0};      ///< Resident memory.
    double cpu_us_per_second{0}; ///< Processor time, keepalive included.
};

/// Opens `sessions` streams to a server in this process over 127.0.0.1 and watches them for a few seconds.
session_cost measure_sessions(int sessions);

} // namespace clementinegap
