#include "adapters/run_store.h"

#include "adapters/run_record_codec.h"

#include <thread>

namespace clementinegap {

run_store::run_store(table_port& table, upstream_event_sink sink) : table_(table), sink_(std::move(sink)) {}

void run_store::claim(const claim_run& action)
{
    const auto& record = action.record;
    table_operation insert{table_operation::kind::insert, std::string(run_table),
                           run_row_key(record.workspace, record.key), run_record_to_text(record), 0};
    table_.transact({std::move(insert)}, [this, attempt = record.attempt](const transaction_result& result) {
        claim_answered answer{attempt, result.result, {}};
        if (result.result == store_result::exists) {
            const auto existing = result.conflicts.empty()
                                      ? std::nullopt
                                      : run_record_from_text(result.conflicts.front().value);
            if (existing) {
                answer.existing = *existing;
            } else {
                answer.result = store_result::unknown;
            }
        }
        tell(std::move(answer));
    });
}

void run_store::read(const read_run& action)
{
    table_.read(std::string(run_table), run_row_key(action.workspace, action.key),
                [this, attempt = action.attempt](const read_result& result) {
                    record_read answer{attempt, result.result, {}};
                    if (result.result == store_result::done) {
                        const auto row = run_record_from_text(result.row.value);
                        if (row) {
                            answer.record = *row;
                        } else {
                            answer.result = store_result::unavailable;
                        }
                    }
                    tell(std::move(answer));
                });
}

void run_store::finish(const finish_run& action)
{
    // The row's revision is read first, so that only the own attempt's row is replaced.
    const auto record = action.record;
    const auto key = run_row_key(record.workspace, record.key);
    table_.read(std::string(run_table), key, [this, record, key](const read_result& found) {
        const auto row = run_record_from_text(found.row.value);
        if (found.result != store_result::done || !row || row->attempt != record.attempt) {
            const auto result = found.result == store_result::done ? store_result::exists : found.result;
            tell(finish_answered{record.attempt, result});
            return;
        }
        table_operation replace{table_operation::kind::replace, std::string(run_table), key,
                                run_record_to_text(record), found.row.revision};
        table_.transact({std::move(replace)},
                        [this, attempt = record.attempt](const transaction_result& result) {
                            tell(finish_answered{attempt, result.result});
                        });
    });
}

void run_store::release(const release_run& action)
{
    const auto record = action.record;
    const auto key = run_row_key(record.workspace, record.key);
    table_.read(std::string(run_table), key, [this, record, key](const read_result& found) {
        const auto row = run_record_from_text(found.row.value);
        const bool own = found.result == store_result::done && row && row->attempt == record.attempt &&
                         row->phase == run_phase::started;
        if (!own) {
            const auto result = found.result == store_result::done ? store_result::exists : found.result;
            tell(release_answered{record.attempt, result});
            return;
        }
        table_operation erase{table_operation::kind::erase, std::string(run_table), key, "",
                              found.row.revision};
        table_.transact({std::move(erase)},
                        [this, attempt = record.attempt](const transaction_result& result) {
                            tell(release_answered{attempt, result.result});
                        });
    });
}

void run_store::tell(upstream_event event)
{
    while (!sink_(event)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace clementinegap
