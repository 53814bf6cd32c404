#pragma once

#include "request/run_record.h"
#include "request/upstream_events.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinegap {

/// Limits of the claim protocol.
struct run_claims_settings {
    std::size_t max_open{4096};
    /// A claim whose confirmation is older is read again before the start: a paused daemon may have lost it.
    duration claim_validity{seconds(5)};
    duration initial_retry_interval{milliseconds(100)};
    duration max_retry_interval{seconds(5)};
    std::uint32_t max_claim_tries{5};
    std::uint32_t max_release_tries{60};
    std::uint32_t max_uncertain_tries{
        8}; ///< Removals that found nothing, while a lost claim may still take effect.
};

/// The outcome of a claim, reported to the owner of the claims.
struct claim_outcome {
    enum class kind : std::uint8_t {
        acquired, ///< The record is this attempt's own: it may start now.
        found,    ///< Another record stands under the key; it is in `record`.
        failed,   ///< The table service did not confirm the claim; the attempt must not start.
        released  ///< The record of a run that never reached the engine is removed, or is being removed.
    };

    kind what{kind::failed};
    attempt_id attempt;
    run_record record;
};

/// The run records of the attempts of one upstream daemon, from the claim before a start to the stored
/// outcome after the end. It handles all uncertainty about the table service: lost results, outages, changes
/// that take effect late. The record of an abandoned claim is still removed, so that a resend may run.
class run_claims {
public:
    explicit run_claims(run_claims_settings settings = {}) : settings_(settings) {}

    /// False when as many records are open as the settings allow; nothing is claimed then.
    bool claim(const run_record& record, time_point now);
    /// The attempt must not start any more. Its claim is removed, even if it takes effect later.
    void abandon(attempt_id attempt, time_point now);
    /// The run was never reached by the upstream: its record is removed.
    void release(attempt_id attempt, time_point now);
    /// Stores the outcome of an own run and retries until the table service confirms it.
    void finish(const run_record& outcome, time_point now);

    std::optional<claim_outcome> on_result(const claim_completed& event, time_point now);
    std::optional<claim_outcome> on_result(const record_read& event, time_point now);
    std::optional<claim_outcome> on_result(const release_completed& event, time_point now);
    void on_result(const finish_completed& event, time_point now);
    /// Retries operations that the table service has not confirmed.
    void on_timer(time_point now);
    time_point next_due() const { return due_.empty() ? never : due_.begin()->first; }

    /// The requests to the table service since the last call.
    std::vector<upstream_action> take_actions() { return std::exchange(actions_, {}); }

    /// An own record under this key: of a claim, a run, or an outcome that is not yet stored; nullptr without
    /// one.
    const run_record* find_own(std::string_view workspace, std::string_view key) const;
    bool empty() const { return open_.empty(); }
    std::size_t size() const { return open_.size(); }

private:
    enum class step : std::uint8_t { claiming, reading, held, finishing, releasing };

    struct open_record {
        run_record record;
        step current_step{step::claiming};
        bool start_pending{true};    ///< The attempt still waits to start.
        bool claim_uncertain{false}; ///< The result of a claim was lost; it may take effect later.
        bool report_release{false};  ///< The owner must be notified of the release.
        std::uint32_t tries{0};
        time_point sent_at;
        time_point due{never};
    };

    bool is_own(const open_record& open, const run_record& found) const;
    void send_claim(open_record& open, time_point now);
    void send_read(open_record& open, time_point now);
    void send_release(open_record& open, time_point now);
    void begin_release(open_record& open, time_point now);
    std::optional<claim_outcome> acquired(open_record& open, time_point now);
    std::optional<claim_outcome> on_conflict(open_record& open, const run_record& found, time_point now);
    std::optional<claim_outcome> failed(open_record& open, time_point now);
    void send_finish(open_record& open, time_point now);
    void schedule_retry(open_record& open, time_point now);
    void retry(open_record& open, time_point now);
    void cancel_retry(open_record& open);
    void close(open_record& open);
    open_record* find(attempt_id attempt, step current_step);

    run_claims_settings settings_;
    std::uint64_t last_claim_{0};
    std::map<attempt_id, open_record> open_;
    std::set<std::pair<time_point, attempt_id>> due_;
    std::vector<upstream_action> actions_;
};

} // namespace clementinegap
