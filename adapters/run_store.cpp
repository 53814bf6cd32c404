#include "adapters/run_store.h"

#include "adapters/run_record_codec.h"

#include <map>
#include <set>
#include <thread>

namespace clementinegap {

run_store::run_store(table_port& table, upstream_event_sink sink) : table_(table), sink_(std::move(sink)) {}

void run_store::claim(const claim_run& action)
{
    {
        const std::lock_guard lock(mutex_);
        waiting_.push_back(action.record);
    }
    claim_waiting();
}

void run_store::claim_waiting()
{
    std::vector<run_record> records;
    std::vector<table_operation> inserts;
    {
        const std::lock_guard lock(mutex_);
        if (claiming_ || waiting_.empty()) {
            return;
        }
        std::set<std::string> keys;
        while (!waiting_.empty() && records.size() < max_claims_together) {
            const auto& record = waiting_.front();
            auto key = run_row_key(record.workspace, record.key);
            if (!keys.insert(key).second) {
                break; // A second claim of a key must see what became of the first.
            }
            inserts.push_back({table_operation::kind::insert, std::string(run_table), std::move(key),
                               run_record_to_text(record), 0});
            records.push_back(record);
            waiting_.pop_front();
        }
        claiming_ = true;
    }
    table_.transact(std::move(inserts), [this, records](const transaction_result& result) {
        claims_answered(records, result);
        {
            const std::lock_guard lock(mutex_);
            claiming_ = false;
        }
        claim_waiting();
    });
}

void run_store::claims_answered(const std::vector<run_record>& records, const transaction_result& result)
{
    std::map<std::string, std::string> standing;
    for (const auto& row : result.conflicts) {
        standing.emplace(row.key, row.value);
    }
    for (const auto& record : records) {
        const auto found = standing.find(run_row_key(record.workspace, record.key));
        if (result.result == store_result::exists && found == standing.end() && !standing.empty()) {
            // Only the conflict of another claim kept this one from being applied.
            const std::lock_guard lock(mutex_);
            waiting_.push_front(record);
            continue;
        }
        claim_completed answer{record.attempt, result.result, {}};
        if (result.result == store_result::exists) {
            const auto existing =
                found == standing.end() ? std::nullopt : run_record_from_text(found->second);
            answer.result = existing ? store_result::exists : store_result::unknown;
            answer.existing = existing.value_or(run_record{});
        }
        tell(std::move(answer));
    }
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
        if (found.result != store_result::done || !row || !is_same_claim(*row, record)) {
            const auto result = found.result == store_result::done ? store_result::exists : found.result;
            tell(finish_completed{record.attempt, result});
            return;
        }
        table_operation replace{table_operation::kind::replace, std::string(run_table), key,
                                run_record_to_text(record), found.row.revision};
        table_.transact({std::move(replace)},
                        [this, attempt = record.attempt](const transaction_result& result) {
                            tell(finish_completed{attempt, result.result});
                        });
    });
}

void run_store::release(const release_run& action)
{
    const auto record = action.record;
    const auto key = run_row_key(record.workspace, record.key);
    table_.read(std::string(run_table), key, [this, record, key](const read_result& found) {
        const auto row = run_record_from_text(found.row.value);
        const bool own = found.result == store_result::done && row && is_same_claim(*row, record) &&
                         row->phase == run_phase::started;
        if (!own) {
            const auto result = found.result == store_result::done ? store_result::exists : found.result;
            tell(release_completed{record.attempt, result});
            return;
        }
        table_operation erase{table_operation::kind::erase, std::string(run_table), key, "",
                              found.row.revision};
        table_.transact({std::move(erase)},
                        [this, attempt = record.attempt](const transaction_result& result) {
                            tell(release_completed{attempt, result.result});
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
