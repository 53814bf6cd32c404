#include "main/fake_table_port.h"

namespace clementinegap {

void fake_table_port::transact(std::vector<table_operation> operations,
                               std::function<void(transaction_result)> done)
{
    if (auto hook = std::exchange(before_transact, nullptr)) {
        hook();
    }
    if (outage) {
        done({store_result::unavailable, {}, 0});
        return;
    }
    if (lost_requests > 0) {
        --lost_requests;
        done({store_result::unknown, {}, 0});
        return;
    }
    auto result = apply(operations);
    if (auto hook = std::exchange(after_transact, nullptr)) {
        hook();
    }
    if (lost_answers > 0) {
        --lost_answers;
        result = {store_result::unknown, {}, 0};
    }
    done(std::move(result));
}

transaction_result fake_table_port::apply(const std::vector<table_operation>& operations)
{
    transaction_result result;
    for (const auto& operation : operations) {
        const auto found = rows.find({operation.table, operation.key});
        const auto present = found == rows.end() ? table_row{operation.key, "", 0} : found->second;
        const auto wanted = operation.what == table_operation::kind::insert ? 0 : operation.revision;
        if (present.revision != wanted) {
            result.result = store_result::exists;
            result.conflicts.push_back(present);
        }
    }
    if (result.result != store_result::done) {
        return result;
    }
    result.revision = ++revision_;
    for (const auto& operation : operations) {
        if (operation.what == table_operation::kind::erase) {
            rows.erase({operation.table, operation.key});
        } else if (operation.what != table_operation::kind::check) {
            rows[{operation.table, operation.key}] = {operation.key, operation.value, revision_};
        }
    }
    return result;
}

void fake_table_port::read(const std::string& table, const std::string& key,
                           std::function<void(read_result)> done)
{
    const auto found = rows.find({table, key});
    if (outage) {
        done({store_result::unavailable, {}});
    } else if (found == rows.end()) {
        done({store_result::absent, {}});
    } else {
        done({store_result::done, found->second});
    }
}

void fake_table_port::scan(const std::string& table, const std::string& prefix,
                           std::function<void(scan_result)> done)
{
    scan_result result;
    result.result = outage ? store_result::unavailable : store_result::done;
    for (const auto& [place, row] : rows) {
        if (!outage && place.first == table && place.second.starts_with(prefix)) {
            result.rows.push_back(row);
        }
    }
    done(std::move(result));
}

void fake_table_port::list_vms(std::function<void(std::optional<std::vector<listed_vm>>)> done)
{
    done(std::nullopt);
}

} // namespace clementinegap
