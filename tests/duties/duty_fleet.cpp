#include "duty_fleet.h"

#include <algorithm>
#include <cmath>

namespace clementinegap {
namespace {

constexpr time_point beginning{seconds(1'767'225'601)};
constexpr double count_tolerance = 0.05;

} // namespace

duty_fleet::duty_fleet(std::size_t daemons, std::uint64_t seed) : random_(seed), now_(beginning)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        auto& member = daemons_.emplace_back();
        member.name = "vm-" + std::to_string(i);
        member.time_of_day = between(milliseconds(-20), milliseconds(20));
    }
    for (std::size_t i = 0; i < daemons; ++i) {
        start(i);
        run(milliseconds(10));
    }
}

duration duty_fleet::between(duration low, duration high)
{
    return duration(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(random_));
}

std::int64_t duty_fleet::unix_ms(const member& member) const
{
    return to_milliseconds(now_.time_since_epoch() + member.time_of_day);
}

void duty_fleet::run(duration length)
{
    const auto end = now_ + length;
    while (!events_.empty() && events_.begin()->first <= end) {
        auto event = events_.extract(events_.begin());
        now_ = std::max(now_, event.key());
        event.mapped()();
    }
    now_ = end;
}

void duty_fleet::at_process(std::size_t daemon, time_point when, std::function<void()> action)
{
    const auto incarnation = daemons_[daemon].incarnation;
    at(when, [this, daemon, incarnation, action = std::move(action)] {
        const auto& member = daemons_[daemon];
        if (!member.duty || member.incarnation != incarnation) {
            return;
        }
        if (member.paused_until > now_) {
            at_process(daemon, member.paused_until, action);
            return;
        }
        action();
    });
}

void duty_fleet::start(std::size_t daemon)
{
    auto& member = daemons_[daemon];
    if (member.duty) {
        return;
    }
    member.incarnation = static_cast<std::uint64_t>(unix_ms(member));
    member.local = between(seconds(-1'000), seconds(1'000));
    member.paused_until = {};
    member.duty = std::make_unique<usage_duty>(
        usage_settings{member.name, member.incarnation, test_window, test_late, test_term});
    deliver(daemon, tick{});
    tick_later(daemon);
    report_later(daemon);
    request_later(daemon);
}

void duty_fleet::kill(std::size_t daemon)
{
    daemons_[daemon].duty.reset();
}

void duty_fleet::pause(std::size_t daemon, duration length)
{
    daemons_[daemon].paused_until = now_ + length;
}

std::optional<std::size_t> duty_fleet::holder() const
{
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (daemons_[i].duty && daemons_[i].duty->is_holder(now_ + daemons_[i].local)) {
            return i;
        }
    }
    return std::nullopt;
}

std::size_t duty_fleet::results(usage_result result) const
{
    const auto found = results_.find(result);
    return found == results_.end() ? 0 : found->second;
}

void duty_fleet::tick_later(std::size_t daemon)
{
    auto& member = daemons_[daemon];
    const auto due = std::max(member.duty->next_due() - member.local, now_ + milliseconds(1));
    at_process(daemon, due, [this, daemon] {
        deliver(daemon, tick{});
        tick_later(daemon);
    });
}

void duty_fleet::report_later(std::size_t daemon)
{
    at_process(daemon, now_ + between(report_interval / 2, report_interval), [this, daemon] {
        auto& sender = daemons_[daemon];
        const auto statement = sender.duty->statement(unix_ms(sender), now_ + sender.local);
        for (std::size_t other = 0; other < daemons_.size(); ++other) {
            const bool is_lost = sender.is_cut || daemons_[other].is_cut || chance(rates.lost_report);
            if (other == daemon || !daemons_[other].duty || is_lost) {
                continue;
            }
            at_process(other, now_ + between(milliseconds(1), milliseconds(20)),
                       [this, other, name = sender.name, incarnation = sender.incarnation, statement] {
                           auto& receiver = daemons_[other];
                           receiver.duty->heard(name, incarnation, report_interval, statement,
                                                now_ + receiver.local);
                       });
        }
        report_later(daemon);
    });
}

void duty_fleet::request_later(std::size_t daemon)
{
    const auto mean = duration(static_cast<std::int64_t>(1e6 / requests_per_second));
    at_process(daemon, now_ + between(mean / 2, mean * 3 / 2), [this, daemon] {
        auto& member = daemons_[daemon];
        const std::string workspace = chance(0.3) ? "fida11" : "hule930";
        member.duty->count(workspace, unix_ms(member), now_ + member.local);
        ++truth_[window()][workspace];
        request_later(daemon);
    });
}

void duty_fleet::deliver(std::size_t daemon, const duty_event& event)
{
    auto& member = daemons_[daemon];
    const auto actions = member.duty->on_event(event, unix_ms(member), now_ + member.local);
    for (const auto& action : actions) {
        std::visit([&](const auto& what) { perform(daemon, what); }, action);
    }
}

void duty_fleet::perform(std::size_t daemon, const write_duty_row& write)
{
    ++writes_;
    at_process(daemon, now_ + seconds(1),
               [this, daemon, step = write.step] { deliver(daemon, row_unknown{step}); });
    if (chance(rates.lost_write)) {
        return;
    }
    const auto latency = chance(rates.late_write) ? between(milliseconds(200), seconds(4))
                                                  : between(milliseconds(2), milliseconds(40));
    at(now_ + latency, [this, daemon, write] { answer_write(daemon, write); });
    if (chance(rates.repeated_write)) {
        at(now_ + latency + between(milliseconds(1), seconds(5)),
           [this, daemon, write] { answer_write(daemon, write); });
    }
}

void duty_fleet::answer_write(std::size_t daemon, const write_duty_row& write)
{
    if (is_store_down) {
        return;
    }
    duty_event answer;
    if (row_.version == write.expected_version) {
        row_ = {row_.version + 1, write.value};
        answer = row_written{write.step, row_.version, era_};
    } else {
        answer = row_conflict{write.step, row_.version, row_.value, era_};
    }
    if (!chance(rates.lost_write_answer)) {
        at_process(daemon, now_ + between(milliseconds(1), milliseconds(20)),
                   [this, daemon, answer] { deliver(daemon, answer); });
    }
}

void duty_fleet::perform(std::size_t daemon, const send_usage& call)
{
    at_process(daemon, call.deadline - daemons_[daemon].local, [this, daemon, step = call.step] {
        deliver(daemon, usage_refused{step, "no answer"});
    });
    if (is_service_down || chance(rates.lost_call)) {
        return;
    }
    at(now_ + between(milliseconds(1), milliseconds(100)), [this, daemon, call] {
        calls_.push_back({now_, call.holder, call.token, call.report});
        accepted_.try_emplace(call.report.window, now_);
        if (!chance(rates.lost_call_answer)) {
            at_process(daemon, now_ + milliseconds(5),
                       [this, daemon, step = call.step] { deliver(daemon, usage_accepted{step}); });
        }
    });
}

void duty_fleet::perform(std::size_t /*daemon*/, const log_duty& line)
{
    ++logged_[line.event];
}

void duty_fleet::perform(std::size_t /*daemon*/, const count_usage_window& counted)
{
    ++results_[counted.result];
}

std::size_t duty_fleet::late_reports(window_number first, window_number last) const
{
    return static_cast<std::size_t>(std::ranges::count_if(accepted_, [&](const auto& report) {
        const auto due = time_point(test_window * (report.first + 1)) + test_late;
        return report.first >= first && report.first <= last && report.second > due;
    }));
}

std::string duty_fleet::wrong_report(window_number first, window_number last) const
{
    for (auto window = first; window <= last; ++window) {
        const auto found = std::ranges::find_if(
            calls_, [&](const received_call& call) { return call.report.window == window; });
        const auto name = "window " + std::to_string(window);
        if (found == calls_.end()) {
            return name + " is missing";
        }
        const auto truth = truth_.find(window);
        for (const auto& [workspace, count] :
             truth == truth_.end() ? decltype(truth->second){} : truth->second) {
            const auto stated = found->report.counts.find(workspace);
            const auto value = stated == found->report.counts.end() ? 0 : stated->second;
            if (std::abs(static_cast<double>(value) - static_cast<double>(count)) >
                count_tolerance * static_cast<double>(count)) {
                return name + ": " + std::to_string(value) + " for " + workspace + ", true are " +
                       std::to_string(count);
            }
        }
    }
    return {};
}

} // namespace clementinegap
