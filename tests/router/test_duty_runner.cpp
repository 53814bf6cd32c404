#include "platform/duty_messages.h"
#include "router/duty_runner.h"
#include "stand_ins/routed_store.h"
#include "stand_ins/usage_service.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <uv.h>

using namespace clementinegap;

namespace {

constexpr duration step_timeout = seconds(20); // Far above any step, also on a busy machine.
constexpr duration report_interval = milliseconds(50);
constexpr duration lease_term = milliseconds(1500);

/// Two daemons that tell each other their statements, a store and the platform's service on one loop.
struct duty_fixture {
    duty_fixture() : store(loop), service(loop, lease_term)
    {
        store.listen();
        service.listen();
        older = start("vm-1", 1);
        younger = start("vm-2", 2);
    }

    std::unique_ptr<duty_runner> start(const std::string& name, std::uint64_t incarnation)
    {
        duty_runner::settings settings;
        settings.usage = {name, incarnation, milliseconds(500), seconds(4), lease_term};
        settings.store = {"127.0.0.1", store.port()};
        settings.service = {"127.0.0.1", service.port()};
        settings.calls_per_second = 20;
        return std::make_unique<duty_runner>(
            loop, settings, &event_loop::unix_time_ms,
            [this](std::string_view event, std::string_view) { events.emplace_back(event); }, counters);
    }

    static void tell(duty_runner& from, const std::string& name, std::uint64_t incarnation,
                     std::uint64_t sequence, duty_runner& to)
    {
        load_report report;
        report.daemon = name;
        report.incarnation = incarnation;
        report.sequence = sequence;
        report.next_in = report_interval;
        report.usage = from.statement(event_loop::now());
        to.heard(report, event_loop::now());
    }

    void wake()
    {
        const auto now = event_loop::now();
        for (auto* each : {older.get(), younger.get()}) {
            if (each != nullptr) {
                each->run(now);
            }
        }
        if (older && younger && now >= next_report) {
            ++sequence;
            tell(*older, "vm-1", 1, sequence, *younger);
            tell(*younger, "vm-2", 2, sequence, *older);
            next_report = now + report_interval;
        }
        loop.wake_at(now + milliseconds(10), [this] { wake(); });
    }

    bool run_until(const std::function<bool()>& done)
    {
        const auto end = event_loop::now() + step_timeout;
        wake();
        while (!done() && event_loop::now() < end) {
            uv_run(loop.native(), UV_RUN_ONCE);
        }
        return done();
    }

    std::uint64_t reported(const std::string& workspace) const
    {
        std::map<std::int64_t, std::uint64_t> by_window;
        for (const auto& each : service.reports()) {
            const auto found = each.counts.find(workspace);
            by_window[each.window] = found == each.counts.end() ? 0 : found->second;
        }
        std::uint64_t sum = 0;
        for (const auto& [window, count] : by_window) {
            sum += count;
        }
        return sum;
    }

    bool has_logged(const std::string& event) const
    {
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    event_loop loop;
    metrics counters;
    routed_store store;
    usage_service service;
    std::vector<std::string> events;
    std::unique_ptr<duty_runner> older;
    std::unique_ptr<duty_runner> younger;
    std::uint64_t sequence{0};
    time_point next_report{};
};

} // namespace

// The soak believes this judge; a rule that it does not see broken would go unnoticed there.
BOOST_AUTO_TEST_CASE(the_stand_in_of_the_platforms_service_sees_each_rule_broken)
{
    event_loop loop;
    usage_service service(loop, lease_term);
    service.listen();
    std::string rule;
    service.on_fault([&](const auto&, std::string_view broken) { rule = broken; });
    const auto rule_broken_by = [&](const std::string& holder, std::uint64_t token, window_number window,
                                    std::uint64_t count) {
        rule.clear();
        int status = 0;
        timed_call call(loop, [&](const timed_call::result& result) { status = result.head.status; });
        const auto now = event_loop::now();
        const send_usage report{1, holder, token, {window, {{"team-a", count}}}, now + step_timeout};
        call.start({"127.0.0.1", service.port()}, encode_usage_call(report, "h"), report.deadline, now);
        while (call.in_progress()) {
            uv_run(loop.native(), UV_RUN_ONCE);
        }
        BOOST_TEST(status == 200);
        return rule;
    };
    BOOST_TEST(rule_broken_by("vm-1", 10, 1, 5) == "");
    BOOST_TEST(rule_broken_by("vm-1", 10, 1, 5) == "");
    BOOST_TEST(rule_broken_by("vm-1", 10, 1, 6) == "other_counts");
    BOOST_TEST(rule_broken_by("vm-2", 10, 2, 5) == "token_of_another");
    BOOST_TEST(rule_broken_by("vm-2", 9, 3, 5) == "lower_token");
    BOOST_TEST(rule_broken_by("vm-1", 11, 4, 5) == "holder_returned");
}

BOOST_FIXTURE_TEST_SUITE(a_duty_runner, duty_fixture)

BOOST_AUTO_TEST_CASE(reports_the_counts_of_all_daemons_from_one_of_them)
{
    BOOST_REQUIRE(run_until([&] { return service.reports().size() >= 2; }));
    for (int i = 0; i < 3; ++i) {
        older->count("team-a");
        younger->count("team-a");
    }
    younger->count("team-b");
    BOOST_TEST(run_until([&] { return reported("team-a") == 6 && reported("team-b") == 1; }));
    BOOST_TEST(service.faults() == 0U);
    BOOST_TEST(store.value("duties", "usage") != nullptr);
    older->measure(event_loop::now());
    BOOST_TEST(has_logged("duty.acquired"));
    BOOST_TEST(has_logged("usage.sent"));
    BOOST_TEST(counters.text().find("clementinegap_usage_windows_total{result=\"sent\"}") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(is_followed_by_another_daemon_with_a_greater_token)
{
    BOOST_REQUIRE(run_until([&] { return service.reports().size() >= 2; }));
    const auto former = service.reports().back();
    (former.holder == "vm-1" ? older : younger).reset();
    BOOST_TEST(run_until([&] { return service.reports().back().holder != former.holder; }));
    BOOST_TEST(service.reports().back().token > former.token);
    BOOST_TEST(service.faults() == 0U);
}

BOOST_AUTO_TEST_CASE(ends_calls_that_are_not_answered_and_repeats_the_report)
{
    service.set_weather(usage_service::weather::silent);
    BOOST_REQUIRE(run_until([&] { return has_logged("usage.call_failed"); }));
    service.set_weather(usage_service::weather::fair);
    BOOST_TEST(run_until([&] { return has_logged("usage.sent"); }));
    BOOST_TEST(service.faults() == 0U);
}

BOOST_AUTO_TEST_CASE(goes_on_once_the_store_answers_again)
{
    store.set_weather(routed_store::weather::silent);
    BOOST_REQUIRE(run_until([&] { return has_logged("duty.write_failed"); }));
    BOOST_TEST(service.reports().empty());
    store.set_weather(routed_store::weather::fair);
    BOOST_TEST(run_until([&] { return has_logged("usage.sent"); }));
    BOOST_TEST(service.faults() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
