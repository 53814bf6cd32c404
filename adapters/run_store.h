#pragma once

#include "ports/peer_port.h"
#include "ports/platform_port.h"
#include "request/upstream_events.h"

#include <deque>
#include <mutex>
#include <vector>

namespace clementinegap {

/// Claims, reads, finishes and releases run records in the table service. Claims that come while one
/// transaction of claims is under way go into the next one together, so a burst costs few writes.
class run_store {
public:
    run_store(table_port& table, upstream_event_sink sink);

    static constexpr std::size_t max_claims_together = 64;

    void claim(const claim_run& action);
    void read(const read_run& action);
    void finish(const finish_run& action);
    /// Removes the record if it is the attempt's own and was never finished.
    void release(const release_run& action);

private:
    void claim_waiting();
    void claims_answered(const std::vector<run_record>& records, const transaction_result& result);
    void tell(upstream_event event);

    table_port& table_;
    upstream_event_sink sink_;
    std::mutex mutex_;
    std::deque<run_record> waiting_;
    bool claiming_{false};
};

} // namespace clementinegap
