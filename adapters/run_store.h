#pragma once

#include "ports/peer_port.h"
#include "ports/platform_port.h"
#include "request/upstream_events.h"

namespace clementinegap {

/// Claims, reads and finishes run records in the table service.
class run_store {
public:
    run_store(table_port& table, upstream_event_sink sink);

    void claim(const claim_run& action);
    void read(const read_run& action);
    void finish(const finish_run& action);
    /// Removes the record if it is the attempt's own and was never finished.
    void release(const release_run& action);

private:
    void tell(upstream_event event);

    table_port& table_;
    upstream_event_sink sink_;
};

} // namespace clementinegap
