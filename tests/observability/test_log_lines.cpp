#include "observability/log_lines.h"
#include "observability/routed_explanation.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace clementinegap;

namespace {

std::string line(const std::string& time, const std::string& event, const std::string& request,
                 const std::string& upstream, const std::string& detail, const std::string& vm = "entry-1")
{
    return R"({"time":"2026-06-11T09:18:)" + time + R"(Z","level":"info","vm":")" + vm + R"(","event":")" +
           event + R"(","request":")" + request + R"(","upstream":")" + upstream + R"(","detail":")" +
           detail + "\"}\n";
}

std::string sent(const std::string& time, const std::string& request, const std::string& upstream,
                 const std::string& wait_ms = "0")
{
    return line(time, "request.sent", request, upstream,
                "route r configuration 4 send 1 wait_ms " + wait_ms +
                    " prefill 900 reread 0 left_ms 5857 reports 3");
}

std::string explained(const std::string& text, const std::string& request)
{
    auto reading = events_from_log(text);
    sort_timeline(reading.events);
    return explain_routed_request(reading.events, request);
}

bool tells(const std::string& text, const std::string& words)
{
    return text.find(words) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_lines_of_entries)

BOOST_AUTO_TEST_CASE(are_read_with_what_a_collector_put_before_them)
{
    const auto reading =
        events_from_log("12.5 vm-1 " + sent("34.919", "a", "u1") + "no line\n{broken\n" +
                        line("35.000", "request.completed", "a", "u1", "total_ms 81 first_ms 20"));
    BOOST_REQUIRE(reading.events.size() == 2U);
    BOOST_TEST(reading.unreadable == 1U);
    BOOST_TEST(reading.events[0].record.upstream == "u1");
    BOOST_TEST(reading.events[1].at.wall - reading.events[0].at.wall == 81000);
    BOOST_TEST(utc_text(reading.events[0].at.wall) == "2026-06-11T09:18:34.919000Z");
}

BOOST_AUTO_TEST_CASE(with_other_values_than_strings_or_odd_times_are_not_believed)
{
    BOOST_TEST(events_from_log(R"({"time":"yesterday","event":"request.sent"})").unreadable == 1U);
    BOOST_TEST(events_from_log(R"({"time":"2026-06-11T09:18:34Z","event":3})").unreadable == 1U);
    BOOST_TEST(events_from_log(R"({"time":"2026-06-11T09:18:34Z","event":"x"})").events.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_explanation_of_a_routed_request)

BOOST_AUTO_TEST_CASE(tells_of_an_answer_and_its_wait)
{
    const auto text = explained(sent("34.000", "a", "u1", "900") + line("36.000", "request.completed", "a",
                                                                        "u1", "total_ms 2000 first_ms 950"),
                                "a");
    BOOST_TEST(tells(text, "answered after 2000 ms; the first event came after 950 ms"));
    BOOST_TEST(tells(text, "900 ms of other prompts were before it at u1"));
}

BOOST_AUTO_TEST_CASE(tells_a_refusal_by_its_pace)
{
    const auto text =
        explained(line("33.248", "request.cannot_end", "a", "", "needs_ms 5712 left_ms 5706") +
                      line("33.248", "request.refused", "a", "", "503 no upstream can end it in time"),
                  "a");
    BOOST_TEST(tells(text, "it needs 5712 ms and its caller waits 5706 ms"));
}

BOOST_AUTO_TEST_CASE(tells_a_refusal_by_rate_limits)
{
    const auto text = explained(line("33.248", "request.refused", "a", "",
                                     "503 no upstream accepts it now, limits allow 4 per second"),
                                "a");
    BOOST_TEST(tells(text, "at the rate limit that it named"));
    BOOST_TEST(tells(text, "limits allow 4 per second"));
}

BOOST_AUTO_TEST_CASE(tells_a_crash_of_the_upstream_from_a_single_broken_connection)
{
    const auto broken = sent("34.000", "a", "u1") +
                        line("35.500", "request.send_failed", "a", "u1", "lost begun") +
                        line("35.500", "request.cut", "a", "", "lost");
    const auto alone = explained(broken, "a");
    BOOST_TEST(tells(alone, "its stream was broken off"));
    BOOST_TEST(tells(alone, "a single broken connection"));
    const auto crash =
        explained(broken + line("35.510", "request.send_failed", "b", "u1", "lost", "entry-2") +
                      line("35.900", "request.send_failed", "c", "u1", "unreachable"),
                  "a");
    BOOST_TEST(tells(crash, "Requests lost at u1 within 50 ms besides this one: 1"));
    BOOST_TEST(tells(crash, "its process ended"));
    BOOST_TEST_CONTEXT("losses at another upstream or much later are no sign of it")
    {
        const auto other = explained(broken + line("35.510", "request.send_failed", "b", "u2", "lost") +
                                         line("59.000", "request.send_failed", "c", "u1", "lost"),
                                     "a");
        BOOST_TEST(tells(other, "a single broken connection"));
    }
}

BOOST_AUTO_TEST_CASE(tells_an_unknown_outcome)
{
    const auto text =
        explained(sent("34.000", "a", "u1") + line("34.100", "request.send_failed", "a", "u1", "lost") +
                      line("34.100", "request.failed", "a", "", "502 after lost, it may have run"),
                  "a");
    BOOST_TEST(tells(text, "may have run, and may not be repeated"));
}

BOOST_AUTO_TEST_CASE(names_the_store_when_it_was_out_of_reach)
{
    const auto text =
        explained(line("30.000", "directory.lost", "", "", "") +
                      line("34.000", "request.refused", "a", "", "503 no upstream can end it in time"),
                  "a");
    BOOST_TEST(tells(text, "could not read the platform's directory"));
    const auto regained = explained(
        line("30.000", "directory.lost", "", "", "") + line("31.000", "directory.regained", "", "", "") +
            line("34.000", "request.refused", "a", "", "503 no upstream can end it in time"),
        "a");
    BOOST_TEST(!tells(regained, "could not read"));
}

BOOST_AUTO_TEST_CASE(tells_a_failure_of_the_upstream_from_an_answer)
{
    const auto once = explained(sent("34.000", "a", "u1") + line("34.050", "request.completed", "a", "u1",
                                                                 "total_ms 50 first_ms 0 upstream_failed"),
                                "a");
    BOOST_TEST(tells(once, "which answered with a failure"));
    const auto twice = explained(
        sent("34.000", "a", "u1") + line("34.050", "request.send_failed", "a", "u1", "failed_answer") +
            sent("34.060", "a", "u2") + line("34.100", "request.send_failed", "a", "u2", "failed_answer") +
            line("34.100", "request.failure_passed", "a", "", "after 2 sends"),
        "a");
    BOOST_TEST(tells(twice, "its upstream's own failure was passed on, after 2 sends"));
}

BOOST_AUTO_TEST_CASE(tells_how_far_an_answer_was_when_its_caller_left)
{
    const auto begun = sent("34.000", "a", "u1");
    const auto none =
        explained(begun + line("34.548", "request.caller_left", "a", "u1", "age_ms 548 first_ms none"), "a");
    BOOST_TEST(tells(none, "nothing had come from u1"));
    const auto some =
        explained(begun + line("39.000", "request.caller_left", "a", "u1", "age_ms 5000 first_ms 900"), "a");
    BOOST_TEST(tells(some, "its answer had begun after 900 ms at u1"));
}

BOOST_AUTO_TEST_CASE(tells_why_a_request_has_no_end)
{
    const auto open = sent("34.000", "a", "u1");
    BOOST_TEST(tells(explained(open, "a"), "wrote nothing more"));
    BOOST_TEST(tells(explained(open + line("35.000", "daemon.started", "", "", "callers x store y"), "a"),
                     "ended without a word and was started again +1000 ms later"));
    BOOST_TEST(tells(explained(open + sent("36.000", "b", "u1"), "a"), "the request was still open"));
}

BOOST_AUTO_TEST_CASE(says_when_it_knows_nothing)
{
    BOOST_TEST(tells(explained(sent("34.000", "a", "u1"), "b"), "No line names this request"));
}

BOOST_AUTO_TEST_SUITE_END()
