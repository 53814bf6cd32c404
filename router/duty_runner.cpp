#include "router/duty_runner.h"

#include "platform/duty_messages.h"
#include "routing/scaled_duration.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

namespace clementinegap {
namespace {

constexpr int status_ok = 200;

std::string_view name_of(usage_result result)
{
    switch (result) {
    case usage_result::sent:
        return "sent";
    case usage_result::late:
        return "late";
    case usage_result::repeated:
        return "repeated";
    case usage_result::incomplete:
        return "incomplete";
    }
    return "unknown";
}

std::string reason_of(const timed_call::result& result)
{
    return result.head.status == 0 ? result.error : "status " + std::to_string(result.head.status);
}

} // namespace

duty_runner::duty_runner(event_loop& loop, settings values, wall_clock unix_ms, logger log, metrics& counters)
    : settings_(std::move(values)), unix_ms_(std::move(unix_ms)), log_(std::move(log)), counters_(counters),
      duty_(settings_.usage),
      store_call_(loop, [this](const timed_call::result& result) { on_store_result(result); }),
      service_call_(loop, [this](const timed_call::result& result) { on_service_result(result); })
{
}

void duty_runner::run(time_point now)
{
    store_call_.run(now);
    service_call_.run(now);
    if (duty_.next_due() <= now) {
        post(tick{});
    }
    start_calls(now);
}

time_point duty_runner::due() const
{
    const bool is_pacing = !reports_.empty() && !service_call_.in_progress();
    return std::min(
        {duty_.next_due(), store_call_.due(), service_call_.due(), is_pacing ? next_report_at_ : never});
}

void duty_runner::count(std::string_view workspace)
{
    duty_.count(workspace, unix_ms_(), event_loop::now());
}

void duty_runner::heard(const load_report& report, time_point now)
{
    if (!report.usage || report.daemon == settings_.usage.daemon) {
        return;
    }
    auto& last = last_reports_[report.daemon];
    // A process that started after the time of day was set back has a lower incarnation than its predecessor.
    const bool is_outdated =
        now < last.at + load_tracker::report_lifetime &&
        std::tie(report.incarnation, report.sequence) <= std::tie(last.incarnation, last.sequence);
    if (is_outdated) {
        return;
    }
    last = {report.incarnation, report.sequence, now};
    duty_.heard(report.daemon, report.incarnation, report.next_in, *report.usage, now);
}

usage_statement duty_runner::statement(time_point now)
{
    return duty_.statement(unix_ms_(), now);
}

void duty_runner::measure(time_point now)
{
    counters_.set("clementinegap_duty_holder", duty_.is_holder(now) ? 1 : 0);
    counters_.set("clementinegap_duty_token", static_cast<double>(duty_.token()));
    counters_.set("clementinegap_usage_silent_daemons", static_cast<double>(duty_.silent_daemons()));
}

void duty_runner::post(duty_event event)
{
    events_.push_back(std::move(event));
    if (dispatching_) {
        return;
    }
    dispatching_ = true;
    while (!events_.empty()) {
        const auto next = std::move(events_.front());
        events_.pop_front();
        for (const auto& action : duty_.on_event(next, unix_ms_(), event_loop::now())) {
            std::visit([this](const auto& each) { perform(each); }, action);
        }
        start_calls(event_loop::now());
    }
    dispatching_ = false;
}

void duty_runner::perform(const write_duty_row& action)
{
    writes_.push_back(action);
}

void duty_runner::perform(const send_usage& action)
{
    reports_.push_back(action);
}

void duty_runner::perform(const log_duty& action)
{
    counters_.event_counted(action.event);
    log_(action.event, action.detail);
}

void duty_runner::perform(const count_usage_window& action)
{
    counters_.usage_window_ended(name_of(action.result));
}

void duty_runner::start_calls(time_point now)
{
    if (!writes_.empty() && !store_call_.in_progress()) {
        store_call_.start(settings_.store, encode_duty_row_write(writes_.front(), to_string(settings_.store)),
                          now + store_timeout, now);
    }
    const bool may_report = !reports_.empty() && !service_call_.in_progress() &&
                            (now >= next_report_at_ || now >= reports_.front().deadline);
    if (may_report) {
        const auto& report = reports_.front();
        next_report_at_ = now + scaled(seconds(1), 1 / settings_.calls_per_second);
        service_call_.start(settings_.service, encode_usage_call(report, to_string(settings_.service)),
                            report.deadline, now);
    }
}

void duty_runner::on_store_result(const timed_call::result& result)
{
    const auto step = writes_.front().step;
    writes_.pop_front();
    auto event = decode_duty_row_result(step, result.head, result.body);
    if (std::holds_alternative<row_unknown>(event)) {
        log_("duty.write_failed", reason_of(result));
    }
    post(std::move(event));
}

void duty_runner::on_service_result(const timed_call::result& result)
{
    const auto step = reports_.front().step;
    reports_.pop_front();
    if (result.head.status == status_ok) {
        post(usage_accepted{step});
        return;
    }
    post(usage_refused{step, reason_of(result)});
}

} // namespace clementinegap
