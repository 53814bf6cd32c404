#include "fakes/fake_table.h"

namespace clementinegap {

std::string fake_table::place(const std::string& workspace, const std::string& key)
{
    return workspace + '\n' + key;
}

void fake_table::answer(const tell_function& tell, upstream_event event)
{
    scheduler_.after(latency_, [tell, event = std::move(event)] { tell(event); });
}

bool fake_table::loses_answer()
{
    if (lose_ == 0) {
        return false;
    }
    --lose_;
    return true;
}

void fake_table::claim(const run_record& record, const tell_function& tell)
{
    // The change takes effect half-way, so that a crash can fall before or after it.
    scheduler_.after(latency_, [this, record, tell] {
        if (outage_) {
            answer(tell, claim_answered{record.attempt, store_result::unavailable, {}});
            return;
        }
        const auto [row, fresh] = rows_.emplace(place(record.workspace, record.key), record);
        ++writes_;
        if (loses_answer()) {
            scheduler_.after(answer_timeout_, [tell, attempt = record.attempt] {
                tell(claim_answered{attempt, store_result::unknown, {}});
            });
            return;
        }
        answer(tell, fresh ? claim_answered{record.attempt, store_result::done, {}}
                           : claim_answered{record.attempt, store_result::exists, row->second});
    });
}

void fake_table::read(const read_run& action, const tell_function& tell)
{
    scheduler_.after(latency_, [this, action, tell] {
        if (outage_) {
            answer(tell, record_read{action.attempt, store_result::unavailable, {}});
            return;
        }
        ++reads_;
        const auto found = rows_.find(place(action.workspace, action.key));
        answer(tell, found == rows_.end() ? record_read{action.attempt, store_result::absent, {}}
                                          : record_read{action.attempt, store_result::done, found->second});
    });
}

void fake_table::finish(const run_record& record, const tell_function& tell)
{
    scheduler_.after(latency_, [this, record, tell] {
        if (outage_) {
            answer(tell, finish_answered{record.attempt, store_result::unavailable});
            return;
        }
        const auto found = rows_.find(place(record.workspace, record.key));
        const bool own = found != rows_.end() && found->second.attempt == record.attempt;
        if (own) {
            found->second = record;
            ++writes_;
        }
        if (loses_answer()) {
            return;
        }
        answer(tell, finish_answered{record.attempt, own ? store_result::done : store_result::exists});
    });
}

} // namespace clementinegap
