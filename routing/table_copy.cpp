#include "routing/table_copy.h"

#include <algorithm>

namespace clementinegap {

void table_copy::apply(const table_follower::progress& read)
{
    if (read.is_snapshot) {
        rows_.clear();
        deleted_.clear();
        history_start_ = read.version;
        // The store may list rows as they were some seconds ago; later changes are then read again.
        version_ = read.version;
        era_ = read.era;
        complete_ = true;
    }
    for (const auto& row : read.changes) {
        auto& known = rows_[row.key];
        if (known.deleted) {
            deleted_.erase(known.version);
        }
        known = row;
        if (row.deleted) {
            known.value.clear();
            deleted_[row.version] = row.key;
        }
    }
    version_ = std::max(version_, read.version);
    drop_oldest_deletions();
}

void table_copy::drop_oldest_deletions()
{
    while (deleted_.size() > max_deleted) {
        history_start_ = std::max(history_start_, deleted_.begin()->first);
        rows_.erase(deleted_.begin()->second);
        deleted_.erase(deleted_.begin());
    }
}

table_page table_copy::listing() const
{
    table_page page;
    page.version = version_;
    page.era = era_;
    for (const auto& [key, row] : rows_) {
        if (!row.deleted) {
            page.rows.push_back(row);
        }
    }
    return page;
}

std::optional<table_page> table_copy::changes_after(std::uint64_t version) const
{
    if (version < history_start_) {
        return std::nullopt;
    }
    table_page page;
    page.version = version_;
    page.era = era_;
    for (const auto& [key, row] : rows_) {
        if (row.version > version) {
            page.rows.push_back(row);
        }
    }
    std::ranges::sort(page.rows, {}, &table_row::version);
    return page;
}

} // namespace clementinegap
