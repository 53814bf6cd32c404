#pragma once

#include "request/upstream_context.h"

#include <set>

namespace clementinegap {

/// The sessions of entry daemons with an upstream daemon, and what all of them are told of its load.
class entry_sessions {
public:
    explicit entry_sessions(upstream_context& context) : context_(context) {}

    /// Introduces the daemon to the entry and tells it the load.
    void opened(session_id session, const load_message& load);
    void closed(session_id session) { sessions_.erase(session); }
    /// Tells all entries, if the load has changed so that it matters for placements.
    void publish(const load_message& load);

private:
    void announce_incarnation();

    upstream_context& context_;
    std::set<session_id> sessions_;
    load_message published_;
    time_point announced_at_{};
};

} // namespace clementinegap
