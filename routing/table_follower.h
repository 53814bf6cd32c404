#pragma once

#include "core/time.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace clementinegap {

/// One read of a table of the platform's store.
struct table_read {
    enum class kind : std::uint8_t { listing, changes };
    kind what{kind::listing};
    std::string table;
    std::string from_key;           ///< Of a listing: the first key wanted.
    std::uint64_t after_version{0}; ///< Of changes.
    duration wait{0};               ///< How long the store may hold the call for a change.
};

struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version{0};
    bool deleted{false};
};

struct table_page {
    std::vector<table_row> rows;
    std::uint64_t version{0}; ///< The newest version of the store at this answer.
    bool has_more{false};
};

/// What an answer of the store means to its reader.
enum class read_result : std::uint8_t { page, history_expired, failed };

/// Follows one table: a listing first, then its changes, a listing again when the history is gone. After a
/// failure it waits longer each time, with jitter, so that a store that returns is not met by all daemons at
/// once. Pure: it is told of answers and says which call comes next and when.
class table_follower {
public:
    /// What is to be taken over after an answer.
    struct progress {
        std::vector<table_row> changes; ///< In order.
        bool is_snapshot{false};        ///< `changes` are all rows of the table.
        bool lost{false};               ///< The store stopped answering.
        bool regained{false};           ///< It answers again.
        std::uint64_t version{0};       ///< The rows read so far are complete up to it; 0: none is.
    };

    /// Changes that follow each other are read together: each answer is a priced call, and when a fleet
    /// starts, all its rows change. Short against the two seconds in which a configuration must be in force.
    static constexpr duration default_batch_delay = milliseconds(300);

    /// \param batch_delay how long changes are gathered after one that was read.
    table_follower(std::string table, std::uint64_t seed, duration batch_delay = default_batch_delay);

    /// The next call; to be made when `next_at` is reached and none is under way.
    table_read next_call() const;
    time_point next_at() const { return next_at_; }

    progress on_page(table_page page, time_point now);
    /// \param result `history_expired` or `failed`.
    progress on_failure(read_result result, time_point now);
    bool reachable() const { return reachable_; }
    const std::string& table() const { return table_; }

private:
    std::string table_;
    std::minstd_rand random_;
    duration batch_delay_;
    time_point changed_at_{}; ///< When changes were last read.
    bool following_{false};
    bool reachable_{true};
    std::uint64_t version_{0};
    std::string from_key_;
    std::vector<table_row> listing_;
    std::uint64_t listing_version_{0};
    duration retry_delay_{0};
    time_point next_at_{};
};

} // namespace clementinegap
