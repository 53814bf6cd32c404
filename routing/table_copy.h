#pragma once

#include "routing/table_follower.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace clementinegap {

/// A copy of one table of the platform's store, kept up to date by a follower. Other daemons can read from it
/// what they would read from the store: all rows, or the changes after a version.
class table_copy {
public:
    /// Applies what the follower has read.
    void apply(const table_follower::progress& read);

    /// Whether all rows have been read once.
    bool is_complete() const { return complete_; }
    /// The rows are complete up to this version of the store.
    std::uint64_t version() const { return version_; }
    const std::optional<std::uint64_t>& era() const { return era_; }
    /// All rows that exist.
    table_page listing() const;
    /// Rows that changed after `version`, ordered by version; nothing if the history of the copy starts
    /// later.
    std::optional<table_page> changes_after(std::uint64_t version) const;

private:
    /// Number of deletions kept. A reader that needs older ones has to list the table again.
    static constexpr std::size_t max_deleted = 500;

    void drop_oldest_deletions();

    bool complete_{false};
    std::uint64_t version_{0};
    std::optional<std::uint64_t> era_;
    std::uint64_t history_start_{0}; ///< Deletions up to this version are unknown.
    std::map<std::string, table_row> rows_;
    std::map<std::uint64_t, std::string> deleted_; ///< Keys by the version of their deletion.
};

} // namespace clementinegap
