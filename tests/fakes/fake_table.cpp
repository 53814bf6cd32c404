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

void fake_table::change_later(const tell_function& tell, const upstream_event& unknown,
                              const std::function<upstream_event()>& change)
{
    if (late_ > 0) {
        --late_;
        scheduler_.after(latency_ + late_by_, [change] { change(); });
        scheduler_.after(latency_ + latency_, [tell, unknown] { tell(unknown); });
        return;
    }
    // The change takes effect half-way, so that a crash can fall before or after it.
    scheduler_.after(latency_, [this, tell, unknown, change] {
        const bool certain = outage_;
        const auto event = change();
        if (!certain && loses_answer()) {
            scheduler_.after(answer_timeout_, [tell, unknown] { tell(unknown); });
        } else {
            answer(tell, event);
        }
    });
}

void fake_table::claim(const run_record& record, const tell_function& tell)
{
    const auto attempt = record.attempt;
    change_later(tell, claim_completed{attempt, store_result::unknown, {}},
                 [this, record]() -> upstream_event {
                     if (outage_) {
                         return claim_completed{record.attempt, store_result::unavailable, {}};
                     }
                     const auto [row, fresh] = rows_.emplace(place(record.workspace, record.key), record);
                     ++writes_;
                     return fresh ? claim_completed{record.attempt, store_result::done, {}}
                                  : claim_completed{record.attempt, store_result::exists, row->second};
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
    change_later(tell, finish_completed{record.attempt, store_result::unknown},
                 [this, record]() -> upstream_event {
                     if (outage_) {
                         return finish_completed{record.attempt, store_result::unavailable};
                     }
                     const auto found = rows_.find(place(record.workspace, record.key));
                     const bool own = found != rows_.end() && is_same_claim(found->second, record);
                     if (own) {
                         found->second = record;
                         ++writes_;
                     }
                     return finish_completed{record.attempt, own ? store_result::done : store_result::exists};
                 });
}

void fake_table::release(const run_record& record, const tell_function& tell)
{
    change_later(
        tell, release_completed{record.attempt, store_result::unknown}, [this, record]() -> upstream_event {
            if (outage_) {
                return release_completed{record.attempt, store_result::unavailable};
            }
            const auto found = rows_.find(place(record.workspace, record.key));
            if (found == rows_.end()) {
                return release_completed{record.attempt, store_result::absent};
            }
            const bool own =
                is_same_claim(found->second, record) && found->second.phase == run_phase::started;
            if (own) {
                rows_.erase(found);
                ++writes_;
            }
            return release_completed{record.attempt, own ? store_result::done : store_result::exists};
        });
}

void fake_table::settle(const std::string& workspace, const std::string& key, ran_state ran)
{
    const auto found = rows_.find(place(workspace, key));
    if (found != rows_.end()) {
        found->second.phase = run_phase::finished;
        found->second.code = result_code::outcome_unknown;
        found->second.ran = ran;
    }
}

} // namespace clementinegap
