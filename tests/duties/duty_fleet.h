#pragma once

#include "duties/usage_duty.h"
#include "fencing_rules.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace clementinegap {

inline constexpr duration test_window = seconds(5);
inline constexpr duration test_late = seconds(10);
inline constexpr duration test_term = seconds(3);

/// Probabilities of faults, each from 0 to 1.
struct fault_rates {
    double lost_write{0};
    double lost_write_answer{0};
    double late_write{0};
    double repeated_write{0};
    double lost_report{0};
    double lost_call{0};
    double lost_call_answer{0};
};

/// Daemons with one simulated store and one service that judges the calls. Each daemon has its own time of
/// day and its own local clock; all times in the interface are true time.
class duty_fleet {
public:
    duty_fleet(std::size_t daemons, std::uint64_t seed);

    void run(duration length);
    void kill(std::size_t daemon);
    void start(std::size_t daemon);
    void pause(std::size_t daemon, duration length);
    void jump(std::size_t daemon, duration change) { daemons_[daemon].time_of_day += change; }
    /// Cuts the daemon off from the reports of the others.
    void cut(std::size_t daemon, bool is_cut) { daemons_[daemon].is_cut = is_cut; }
    void copy_store() { copy_ = row_; }
    void restore_store()
    {
        row_ = copy_;
        ++era_;
    }
    void set_row(std::uint64_t version, std::string value) { row_ = {version, std::move(value)}; }

    std::size_t size() const { return daemons_.size(); }
    bool is_up(std::size_t daemon) const { return daemons_[daemon].duty != nullptr; }
    /// The daemon that holds the lease; nothing if none does.
    std::optional<std::size_t> holder() const;
    std::uint64_t token(std::size_t daemon) const { return daemons_[daemon].duty->token(); }
    window_number window() const { return now_.time_since_epoch() / test_window; }
    const std::vector<received_call>& calls() const { return calls_; }
    std::size_t writes() const { return writes_; }
    std::size_t results(usage_result result) const;
    bool has_logged(const std::string& event) const { return logged_.contains(event); }
    const std::string& row() const { return row_.value; }

    /// The broken rules of fencing; empty when all hold.
    std::string broken_rule() const { return clementinegap::broken_rule(calls_, test_term); }
    /// The first window in [first, last] without a report or with a wrong count; empty if all are right.
    std::string wrong_report(window_number first, window_number last) const;
    /// Windows in [first, last] whose first report came too late.
    std::size_t late_reports(window_number first, window_number last) const;

    fault_rates rates;
    bool is_store_down{false};
    bool is_service_down{false};
    duration report_interval{milliseconds(500)};
    double requests_per_second{40};

private:
    struct member {
        std::string name;
        std::uint64_t incarnation{0};
        duration time_of_day{0};
        duration local{0};
        std::unique_ptr<usage_duty> duty;
        time_point paused_until{};
        bool is_cut{false};
    };
    struct stored_row {
        std::uint64_t version{0};
        std::string value;
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
    duration between(duration low, duration high);
    void at(time_point when, std::function<void()> action) { events_.emplace(when, std::move(action)); }
    /// Runs for the process that is there now, when it is not suspended.
    void at_process(std::size_t daemon, time_point when, std::function<void()> action);
    std::int64_t unix_ms(const member& member) const;
    void deliver(std::size_t daemon, const duty_event& event);
    void perform(std::size_t daemon, const write_duty_row& write);
    void perform(std::size_t daemon, const send_usage& call);
    void perform(std::size_t daemon, const log_duty& line);
    void perform(std::size_t daemon, const count_usage_window& counted);
    void answer_write(std::size_t daemon, const write_duty_row& write);
    void tick_later(std::size_t daemon);
    void report_later(std::size_t daemon);
    void request_later(std::size_t daemon);

    std::mt19937_64 random_;
    time_point now_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<member> daemons_;
    stored_row row_;
    stored_row copy_;
    std::uint64_t era_{1};
    std::size_t writes_{0};
    std::vector<received_call> calls_;
    std::map<usage_result, std::size_t> results_;
    std::map<std::string, std::size_t> logged_;
    std::map<window_number, std::map<std::string, std::uint64_t>> truth_;
    std::map<window_number, time_point> accepted_;
};

} // namespace clementinegap
