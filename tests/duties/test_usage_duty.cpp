#include "duty_fleet.h"

#include "duties/duty_row.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace clementinegap;

namespace {

/// A fleet that has reported its first windows.
struct running_fleet {
    explicit running_fleet(std::size_t daemons = 3) : fleet(daemons, 1), first(fleet.window())
    {
        fleet.run(seconds(16));
    }

    void check(window_number last_known_right)
    {
        BOOST_TEST(fleet.broken_rule() == "");
        check_reports(first, last_known_right);
    }

    void check_reports(window_number begin, window_number end)
    {
        BOOST_TEST(fleet.wrong_report(begin, end) == "");
        BOOST_TEST(fleet.late_reports(begin, end) == 0U);
    }

    /// Runs until the last window is recorded while the service is away.
    void record_without_sending()
    {
        fleet.is_service_down = true;
        fleet.run(seconds(3));
        while (!fleet.holder()) {
            fleet.run(milliseconds(10));
        }
    }

    /// Runs until a window is recorded without the counts of the third daemon, which arrive afterwards.
    usage_report record_without_the_third()
    {
        const auto window = fleet.window();
        fleet.cut(2, true);
        while (duty_row_from(fleet.row()).value().reports.back().window != window) {
            fleet.run(milliseconds(10));
        }
        fleet.cut(2, false);
        return duty_row_from(fleet.row()).value().reports.back();
    }

    duty_fleet fleet;
    window_number first;
};

struct three_daemons : running_fleet {};

std::size_t calls_by(const duty_fleet& fleet, const std::string& holder)
{
    return static_cast<std::size_t>(std::ranges::count(fleet.calls(), holder, &received_call::holder));
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_fleet_reports_its_usage)

BOOST_FIXTURE_TEST_CASE(each_window_once_in_time_by_the_oldest_daemon, three_daemons)
{
    // Guards against missing, late, wrong or needless calls and against writes beyond a few per window.
    fleet.run(seconds(60));
    check(fleet.window() - 2);
    BOOST_TEST(fleet.calls().size() == static_cast<std::size_t>(fleet.window() - first));
    BOOST_TEST(calls_by(fleet, "vm-0") == fleet.calls().size());
    BOOST_TEST(fleet.writes() <= 2 * fleet.calls().size());
    BOOST_TEST(fleet.results(usage_result::incomplete) == 0U);
}

BOOST_AUTO_TEST_CASE(with_reports_between_daemons_only_every_2400_ms)
{
    // Guards against a window that is taken as complete before the slowest report, or too late.
    duty_fleet fleet(5, 2);
    fleet.report_interval = milliseconds(2'400);
    const auto first = fleet.window();
    fleet.run(seconds(60));
    BOOST_TEST(fleet.broken_rule() == "");
    BOOST_TEST(fleet.wrong_report(first, fleet.window() - 2) == "");
    BOOST_TEST(fleet.late_reports(first, fleet.window() - 2) == 0U);
}

BOOST_AUTO_TEST_CASE(also_where_nothing_was_requested)
{
    // Guards against a window without requests that is never reported.
    duty_fleet fleet(2, 3);
    fleet.requests_per_second = 0.001;
    const auto first = fleet.window();
    fleet.run(seconds(30));
    BOOST_TEST(fleet.wrong_report(first, fleet.window() - 2) == "");
    BOOST_TEST(fleet.late_reports(first, fleet.window() - 2) == 0U);
    BOOST_TEST(fleet.calls().back().report.counts.empty());
}

BOOST_AUTO_TEST_CASE(with_a_clock_that_jumps_and_jumps_back)
{
    // Guards against windows that follow the time of day of one VM.
    running_fleet fleet;
    fleet.fleet.jump(0, seconds(4));
    fleet.fleet.run(seconds(20));
    fleet.fleet.jump(0, seconds(-7));
    fleet.fleet.run(seconds(20));
    fleet.fleet.jump(0, seconds(3));
    fleet.fleet.run(seconds(20));
    fleet.check(fleet.fleet.window() - 2);
}

BOOST_AUTO_TEST_SUITE(when_the_holder_fails)

BOOST_FIXTURE_TEST_CASE(by_a_kill_another_takes_over_in_time_with_a_greater_token, three_daemons)
{
    // Guards against a duty that ends with its holder.
    const auto token = fleet.token(0);
    const auto killed_in = fleet.window();
    fleet.kill(0);
    fleet.run(seconds(30));
    check(killed_in - 1);
    check_reports(killed_in + 1, fleet.window() - 2);
    BOOST_TEST(calls_by(fleet, "vm-1") > 0U);
    BOOST_TEST(fleet.token(1) > token);
}

BOOST_FIXTURE_TEST_CASE(between_record_and_call_the_next_one_repeats_its_report_verbatim, three_daemons)
{
    // Guards against a recorded report that nobody sends, or that is sent with other counts.
    record_without_sending();
    const auto row = duty_row_from(fleet.row()).value();
    fleet.kill(0);
    fleet.is_service_down = false;
    fleet.run(seconds(9));
    check(row.reports.back().window);
    const auto repeated = std::ranges::find_if(fleet.calls(), [&](const received_call& call) {
        return call.report.window == row.reports.back().window;
    });
    BOOST_TEST((repeated->report == row.reports.back()));
    BOOST_TEST(repeated->holder == "vm-1");
    BOOST_TEST(fleet.results(usage_result::repeated) == 1U);
}

BOOST_FIXTURE_TEST_CASE(by_a_pause_it_sends_nothing_with_the_old_token_when_it_resumes, three_daemons)
{
    // Guards against a holder that trusts a lease that ended while it was suspended.
    record_without_sending();
    fleet.is_service_down = false;
    fleet.pause(0, seconds(9));
    fleet.run(seconds(30));
    check(fleet.window() - 2);
    BOOST_TEST(calls_by(fleet, "vm-1") > 0U);
}

BOOST_FIXTURE_TEST_CASE(and_all_others_with_it_the_reports_in_the_row_are_repeated, three_daemons)
{
    // Guards against a fleet that begins anew over the reports of the one before.
    record_without_sending();
    const auto recorded = duty_row_from(fleet.row()).value().reports.back();
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.kill(i);
    }
    fleet.is_service_down = false;
    fleet.run(seconds(2));
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.start(i);
    }
    const auto restarted_in = fleet.window();
    fleet.run(seconds(30));
    BOOST_TEST(fleet.broken_rule() == "");
    check_reports(restarted_in + 1, fleet.window() - 2);
    BOOST_TEST(std::ranges::any_of(fleet.calls(),
                                   [&](const received_call& call) { return call.report == recorded; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_store_fails)

BOOST_FIXTURE_TEST_CASE(by_an_outage_the_windows_wait_and_are_sent_afterwards, three_daemons)
{
    // Guards against windows that are lost with the store, and against calls without a lease.
    const auto before = fleet.calls().size();
    fleet.is_store_down = true;
    fleet.run(seconds(40));
    BOOST_TEST(fleet.calls().size() <= before + 1);
    fleet.is_store_down = false;
    fleet.run(seconds(30));
    BOOST_TEST(fleet.broken_rule() == "");
    BOOST_TEST(fleet.calls().size() == static_cast<std::size_t>(fleet.window() - first));
}

BOOST_FIXTURE_TEST_CASE(by_lost_answers_the_next_write_tells_what_happened, three_daemons)
{
    // Guards against a lease that is held in the store and by nobody.
    fleet.rates.lost_write_answer = 0.5;
    fleet.run(seconds(60));
    check(fleet.window() - 2);
}

BOOST_FIXTURE_TEST_CASE(and_comes_back_from_an_older_copy_tokens_and_reports_go_on, three_daemons)
{
    // Guards against tokens and windows that repeat after a restore.
    fleet.copy_store();
    fleet.run(seconds(20));
    fleet.restore_store();
    fleet.run(seconds(40));
    check(fleet.window() - 2);
}

BOOST_FIXTURE_TEST_CASE(with_a_malformed_row_nobody_takes_it_as_free, three_daemons)
{
    // Guards against a row that cannot be read and is overwritten with its lease and reports.
    fleet.set_row(99, "{\"holder\":7");
    const auto calls = fleet.calls().size();
    fleet.run(seconds(30));
    BOOST_TEST(fleet.row() == "{\"holder\":7");
    BOOST_TEST(fleet.calls().size() <= calls + 1);
    BOOST_TEST(fleet.has_logged("duty.row_malformed"));
    fleet.set_row(0, "");
    fleet.run(seconds(40));
    BOOST_TEST(fleet.broken_rule() == "");
    BOOST_TEST(fleet.calls().size() > calls + 4);
}

BOOST_FIXTURE_TEST_CASE(and_loses_a_report_that_was_sent_nobody_records_its_window_anew, three_daemons)
{
    // Guards against a second report of the window with the counts that arrived after the first.
    fleet.copy_store();
    fleet.rates.lost_call_answer = 1;
    const auto recorded = record_without_the_third();
    // The second daemon hears of the row and of all counts, but has not read the row.
    fleet.run(seconds(1));
    BOOST_TEST((fleet.calls().back().report == recorded));
    fleet.kill(0);
    fleet.kill(2);
    fleet.is_store_down = true;
    fleet.run(seconds(5));
    fleet.restore_store();
    fleet.is_store_down = false;
    fleet.rates.lost_call_answer = 0;
    fleet.run(seconds(30));
    BOOST_TEST(fleet.broken_rule() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_service_fails)

BOOST_FIXTURE_TEST_CASE(counts_that_arrive_after_the_record_do_not_change_it, three_daemons)
{
    // Guards against a renewal that replaces the counts of a report that may have been sent.
    fleet.is_service_down = true;
    const auto recorded = record_without_the_third();
    const auto token = fleet.token(0);
    while (fleet.token(0) == token && duty_row_from(fleet.row()).value().reports.size() < 2) {
        fleet.run(milliseconds(100));
    }
    BOOST_TEST((duty_row_from(fleet.row()).value().reports.front() == recorded));
}

BOOST_FIXTURE_TEST_CASE(for_eight_seconds_the_report_is_sent_again, three_daemons)
{
    // Guards against a report that is tried once.
    fleet.is_service_down = true;
    fleet.run(seconds(8));
    fleet.is_service_down = false;
    fleet.run(seconds(32));
    BOOST_TEST(fleet.broken_rule() == "");
    BOOST_TEST(fleet.calls().size() == static_cast<std::size_t>(fleet.window() - first));
    BOOST_TEST(calls_by(fleet, "vm-0") == fleet.calls().size());
}

BOOST_FIXTURE_TEST_CASE(for_minutes_old_reports_are_given_up_and_new_ones_go_on, three_daemons)
{
    // Guards against reports that block those after them.
    fleet.is_service_down = true;
    fleet.run(seconds(120));
    fleet.is_service_down = false;
    fleet.run(seconds(20));
    const auto recovered_in = fleet.window();
    fleet.run(seconds(30));
    BOOST_TEST(fleet.broken_rule() == "");
    check_reports(recovered_in, fleet.window() - 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(a_daemon_that_is_cut_off_does_not_report_its_own_counts_as_all, three_daemons)
{
    // Guards against a partial report from a daemon that hears nobody but reaches the store.
    fleet.cut(2, true);
    fleet.run(seconds(100));
    BOOST_TEST(fleet.broken_rule() == "");
    for (auto window = first; window < fleet.window() - 2; ++window) {
        const auto call = std::ranges::find_if(
            fleet.calls(), [&](const received_call& received) { return received.report.window == window; });
        BOOST_REQUIRE((call != fleet.calls().end()));
        BOOST_TEST(call->holder != "vm-2");
    }
    fleet.cut(2, false);
    fleet.run(seconds(10));
    const auto healed_in = fleet.window();
    fleet.run(seconds(30));
    check_reports(healed_in, fleet.window() - 2);
}

BOOST_AUTO_TEST_SUITE_END()
