#pragma once

#include "request/upstream_context.h"

#include <set>

namespace clementinegap {

/// The sessions of entry daemons with an upstream daemon, and the load reports sent to them.
class entry_sessions {
public:
    explicit entry_sessions(upstream_context& context) : context_(context) {}

    /// Sends the hello message and the current load to the entry.
    void opened(session_id session, const load_message& load);
    void closed(session_id session) { sessions_.erase(session); }
    /// Sends the load to all entries if the change affects placements.
    void publish(const load_message& load);

private:
    void announce_incarnation();

    upstream_context& context_;
    std::set<session_id> sessions_;
    load_message published_;
    time_point announced_at_{};
};

} // namespace clementinegap
