#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// One read of a table of the platform's store.
struct table_read {
    enum class kind : std::uint8_t { listing, changes };
    kind what{kind::listing};
    std::string table;
    std::string from_key;           ///< For a listing: the first key.
    std::uint64_t after_version{0}; ///< For changes.
    duration wait{0};               ///< How long the store may hold the call until there is a change.
    /// For changes read from a relay: the era of `after_version`.
    std::optional<std::uint64_t> era{};
};

struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version{0};
    bool deleted{false};
};

/// The last change of the row with this key; nullptr without one. A page of changes may contain several
/// versions of a row.
const table_row* last_change(std::span<const table_row> changes, std::string_view key);

struct table_page {
    std::vector<table_row> rows;
    std::uint64_t version{0}; ///< The newest version of the store at the time of the call.
    bool has_more{false};
    /// Rises when the store comes back from an older copy. Versions of different eras are not comparable.
    std::optional<std::uint64_t> era{};
};

/// Outcome of a store read.
enum class read_result : std::uint8_t { page, history_expired, failed, no_answer };

/// Follows one table: it lists the table, then reads its changes, and lists it again if the history has
/// expired or the store came back from an older copy. After a failure it backs off exponentially with jitter,
/// so that not all daemons call a recovered store at once. It has no side effects: it is notified of results
/// and computes the next call, its time and its deadline.
class table_follower {
public:
    /// State to apply after a result.
    struct progress {
        std::vector<table_row> changes; ///< In order.
        bool is_snapshot{false};        ///< `changes` contains all rows of the table.
        bool lost{false};               ///< The store stopped responding.
        bool regained{false};           ///< The store responds again.
        bool restored{false};           ///< A snapshot of a store that came back from an older copy.
        bool overdue{false};            ///< Changes that a call which waited for them has not shown.
        /// The rows read so far are complete up to this version; 0: no version is complete.
        std::uint64_t version{0};
        std::optional<std::uint64_t> era{}; ///< Of `version`.
    };

    /// Changes in quick succession are read in one batch, because each call is billed and all rows of a fleet
    /// change when it starts. The delay is short relative to the two seconds within which a configuration
    /// must be in force.
    static constexpr duration default_batch_delay = milliseconds(300);

    /// Each call is billed, so an idle one is held for long; the store allows 30 s.
    static constexpr duration change_wait = seconds(20);
    /// The answer to a call that waits no longer than this is awaited, even if the table may have changed.
    static constexpr duration longest_short_wait = seconds(2);

    /// \param batch_delay how long changes are collected after a change was read.
    table_follower(std::string table, std::uint64_t seed, duration batch_delay = default_batch_delay);

    /// The next call, to be made once `next_at` is reached and no call is in progress.
    table_read next_call() const;
    time_point next_at() const { return next_at_; }
    /// When the next call is to be made or, while one is in progress, when its answer is due.
    time_point due() const { return call_ ? call_->deadline : next_at_; }
    bool is_calling() const { return call_.has_value(); }
    /// Begins the next call. None may be in progress.
    table_read begin_call(time_point now);
    /// The call in progress was aborted, for example because its source is not to be used any more.
    void call_aborted() { call_.reset(); }
    /// The head of the response has arrived; the rest may take longer.
    void on_response_begun(time_point now);

    progress on_page(table_page page, time_point now);
    /// \param result not `page`.
    progress on_failure(read_result result, time_point now);
    bool reachable() const { return reachable_; }

    /// Limits how long calls wait for a change.
    void set_longest_wait(duration wait) { longest_wait_ = wait; }
    /// The next call does not wait for a change: there may be one that a call in progress does not show.
    /// \returns whether the call in progress waits for so long that it has to be aborted.
    bool ask_at_once();
    /// Whether the call in progress should have been answered, as the store answered other daemons then.
    bool is_overtaken(time_point store_answered_at) const;

    const std::optional<std::uint64_t>& era() const { return era_; }
    const std::string& table() const { return table_; }

private:
    /// Time that the store or a relay has for an answer, in addition to the time that a call may wait. It
    /// grows while answers do not come, since the store may be slow.
    static constexpr duration min_response_time = seconds(1);
    static constexpr duration max_response_time = seconds(2);
    /// A listing may contain all rows of a fleet.
    static constexpr duration listing_response_time = milliseconds(2500);

    struct call {
        time_point begun;
        duration wait{0};
        time_point deadline;
    };

    std::string table_;
    std::minstd_rand random_;
    duration batch_delay_;
    time_point changed_at_{}; ///< When changes were last read.
    bool following_{false};
    bool restoring_{false}; ///< The next listing is the first one of its era.
    bool reachable_{true};
    std::uint64_t version_{0};
    std::optional<std::uint64_t> era_;
    std::string from_key_;
    std::vector<table_row> listing_;
    std::uint64_t listing_version_{0};
    duration retry_delay_{0};
    duration response_time_{min_response_time};
    duration longest_wait_{change_wait};
    bool asks_at_once_{false};     ///< The next call does not wait.
    bool wait_was_aborted_{false}; ///< The call that does not wait replaces one that did.
    std::optional<call> call_;
    time_point next_at_{};
};

} // namespace clementinegap
