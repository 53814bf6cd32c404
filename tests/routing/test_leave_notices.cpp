#include "routing/leaving_upstreams.h"
#include "routing/router_fixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

/// A router whose plain upstream `p1` has announced in a response that it is leaving.
struct leave_notice_fixture : router_fixture {
    leave_notice_fixture() { give(upstream_notice{"p1", 1, true, std::nullopt, ""}); }

    /// The upstreams that a number of requests are sent to.
    std::set<std::string> used(int requests = 20)
    {
        std::set<std::string> result;
        for (int i = 0; i < requests; ++i) {
            const auto number = arrive("/look/x");
            result.insert(sent_to());
            give(request_completed{number, false});
        }
        return result;
    }
};

const std::set<std::string> only_p2{"p2"};
const std::set<std::string> nobody{""};

} // namespace

BOOST_AUTO_TEST_SUITE(leave_notices_of_upstreams)

BOOST_AUTO_TEST_SUITE(as_a_list)

BOOST_AUTO_TEST_CASE(apply_to_one_incarnation)
{
    leaving_upstreams known;
    BOOST_TEST(known.add({"u", 7}, true, start));
    BOOST_TEST(!known.add({"u", 7}, true, start));
    BOOST_TEST(known.contains("u", 7));
    BOOST_TEST(!known.contains("u", 8));
    known.listed("u", 7);
    BOOST_TEST(known.contains("u", 7));
    known.listed("u", 8);
    BOOST_TEST(!known.contains("u", 7));
    BOOST_TEST(known.size() == 0U);
}

BOOST_AUTO_TEST_CASE(survive_a_late_notice_of_an_earlier_incarnation)
{
    leaving_upstreams known;
    known.add({"u", 8}, true, start);
    known.add({"u", 7}, false, start);
    BOOST_TEST(known.contains("u", 8));
    BOOST_TEST(known.of_listed().size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_kept_while_an_entry_may_have_expired_by_mistake)
{
    leaving_upstreams known;
    known.add({"u", 7}, true, start);
    known.unlisted("u", start);
    known.expire(start + seconds(100));
    BOOST_TEST(known.contains("u", 7));
    known.listed("u", 7);
    known.expire(start + seconds(1000));
    BOOST_TEST(known.contains("u", 7));
    known.unlisted("u", start + seconds(1000));
    known.expire(start + seconds(1121));
    BOOST_TEST(!known.contains("u", 7));
}

BOOST_AUTO_TEST_CASE(are_bounded_regardless_of_reports)
{
    leaving_upstreams known;
    for (int i = 0; i < 10000; ++i) {
        known.add({"u" + std::to_string(i), 1}, false, start);
    }
    BOOST_TEST(known.size() == 4096U);
    known.expire(start + seconds(121));
    BOOST_TEST(known.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(after_the_directory_came_back_from_an_older_copy, router_fixture)

BOOST_AUTO_TEST_CASE(an_upstream_that_was_draining_or_removed_gets_nothing)
{
    const directory_listed before{{upstream("p1", "app"), upstream("p2", "app"), upstream("p3", "app")},
                                  true};
    give(directory_listed{before.records, false});
    auto draining = upstream("p1", "app");
    draining.leaving = true;
    give(upstream_listed{draining});
    give(upstream_removed{"p2"});
    give(before);
    for (int i = 0; i < 10; ++i) {
        arrive("/book/x");
        BOOST_TEST(sent_to() == "p3");
    }
    BOOST_TEST_CONTEXT("until it has started anew, or writes its entry again")
    {
        auto again = upstream("p1", "app");
        again.incarnation = 2;
        give(upstream_listed{again});
        give(upstream_listed{upstream("p2", "app")});
        std::set<std::string> used;
        for (int i = 0; i < 10; ++i) {
            arrive("/book/x");
            used.insert(sent_to());
        }
        BOOST_TEST(used.contains("p1"));
        BOOST_TEST(used.contains("p2"));
    }
}

BOOST_AUTO_TEST_CASE(a_younger_upstream_is_kept_until_it_has_had_time_to_register_again)
{
    give(directory_listed{{upstream("p1", "app")}, false});
    give(upstream_listed{upstream("p2", "app")});
    give(directory_listed{{upstream("p1", "app")}, true});
    give(upstream_removed{"p1"});
    arrive("/book/x");
    BOOST_TEST(sent_to() != "");
    pass(upstream_directory::restore_grace + milliseconds(300));
    arrive("/book/x");
    BOOST_TEST(sent_to() == "");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an entry of another writer, which lacks the incarnation, in place of an upstream's own: it
// was taken for one of a new process, and a leaving upstream got requests again.
BOOST_FIXTURE_TEST_SUITE(beside_an_entry_without_incarnation, leave_notice_fixture)

upstream_record without_incarnation(const std::string& id)
{
    auto record = router_fixture::upstream(id, "app");
    record.incarnation = 0;
    return record;
}

BOOST_AUTO_TEST_CASE(hold_if_they_came_in_a_response)
{
    give(upstream_listed{without_incarnation("p1")});
    BOOST_TEST((used() == only_p2));
    give(directory_listed{{without_incarnation("p1"), upstream("p2", "app")}, false});
    BOOST_TEST((used() == only_p2));
    BOOST_TEST(router.report(now).leave_notices.size() == 1U);
}

BOOST_AUTO_TEST_CASE(hold_if_they_came_from_the_directory)
{
    auto draining = upstream("p2", "app");
    draining.leaving = true;
    give(upstream_listed{draining});
    give(upstream_listed{without_incarnation("p2")});
    BOOST_TEST((used(3) == nobody));
}

BOOST_AUTO_TEST_CASE(hold_after_the_own_entry_was_removed)
{
    give(upstream_removed{"p1"});
    give(upstream_removed{"p2"});
    give(upstream_listed{without_incarnation("p1")});
    give(upstream_listed{without_incarnation("p2")});
    BOOST_TEST((used(3) == nobody));
}

BOOST_AUTO_TEST_CASE(hold_at_a_daemon_that_has_read_no_other)
{
    give(upstream_listed{without_incarnation("p3")});
    BOOST_TEST(used().contains("p3")); // No process of it is known to leave.
    auto report = router.report(now);
    report.daemon = "entry-2";
    report.leave_notices = {{"p3", 7}};
    give(load_reported{report, {}});
    BOOST_TEST((used() == only_p2));
}

BOOST_AUTO_TEST_CASE(end_with_the_next_process)
{
    give(upstream_listed{without_incarnation("p1")});
    auto again = upstream("p1", "app");
    again.incarnation = 2;
    give(upstream_listed{again});
    BOOST_TEST(used().contains("p1"));
}

BOOST_AUTO_TEST_CASE(do_not_blame_its_requests_for_a_crash)
{
    give(upstream_listed{without_incarnation("p2")});
    for (const auto& each : all<log_decision>()) {
        BOOST_TEST(each.event != "upstream.crashed");
    }
    BOOST_TEST((used() == only_p2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(in_a_response, leave_notice_fixture)

BOOST_AUTO_TEST_CASE(stop_all_new_work_regardless_of_the_directory)
{
    BOOST_TEST((used() == only_p2));
    give(upstream_listed{upstream("p1", "app")});
    BOOST_TEST((used() == only_p2));
    auto changed = upstream("p1", "app");
    changed.slots = 7;
    give(upstream_listed{changed});
    BOOST_TEST((used() == only_p2));
}

BOOST_AUTO_TEST_CASE(hold_while_the_entry_expires_and_returns)
{
    give(directory_unreachable{});
    give(upstream_removed{"p1"});
    give(directory_reachable{});
    give(upstream_listed{upstream("p1", "app")});
    BOOST_TEST((used() == only_p2));
    give(upstream_removed{"p1"});
    pass(seconds(3));
    give(upstream_listed{upstream("p1", "app")});
    BOOST_TEST((used() == only_p2));
}

BOOST_AUTO_TEST_CASE(end_with_a_new_incarnation)
{
    auto again = upstream("p1", "app");
    again.incarnation = 2;
    give(upstream_listed{again});
    BOOST_TEST(used().contains("p1"));
    // A late response of the previous incarnation does not apply to the new one.
    give(upstream_notice{"p1", 1, true, std::nullopt, ""});
    BOOST_TEST(used().contains("p1"));
}

BOOST_AUTO_TEST_CASE(do_not_affect_running_requests)
{
    const auto running = arrive("/book/x");
    const auto at = sent_to();
    BOOST_TEST(at == "p2");
    give(upstream_notice{at, 1, true, std::nullopt, ""});
    BOOST_TEST(all<stop_send>().empty());
    BOOST_TEST(all<respond_to_caller>().empty());
    give(request_completed{running, false});
    BOOST_TEST((one<measure_request>()->code == result_code::ok));
}

BOOST_AUTO_TEST_CASE(recall_sends_without_a_connection)
{
    const auto request = arrive("/book/x");
    give(upstream_listed{upstream("p3", "app")});
    give(upstream_notice{"p2", 1, true, std::nullopt, ""});
    BOOST_TEST(one<recall_unsent>()->upstream == "p2");
    // Even a booking may be sent elsewhere, since nothing of it was sent.
    give(send_failed{request, send_fault::recalled, false});
    BOOST_TEST(sent_to() == "p3");
}

BOOST_AUTO_TEST_CASE(send_a_refused_request_elsewhere)
{
    give(upstream_listed{upstream("p3", "app")});
    const auto request = arrive("/look/x");
    const auto first = sent_to();
    give(upstream_notice{first, 1, true, std::nullopt, ""});
    give(send_failed{request, send_fault::not_run, false});
    BOOST_TEST(sent_to() != first);
    BOOST_TEST(sent_to() != "p1");
    BOOST_TEST(sent_to() != "");
}

BOOST_AUTO_TEST_CASE(of_all_upstreams_refuse_requests_at_once)
{
    give(upstream_notice{"p2", 1, true, std::nullopt, ""});
    BOOST_TEST((used(3) == nobody));
    arrive("/look/x");
    BOOST_TEST(one<respond_to_caller>()->status == 503);
    BOOST_TEST(one<respond_to_caller>()->retry_after.has_value());
    // An upstream of the next release is used as soon as it is listed.
    give(upstream_listed{upstream("p9", "app")});
    BOOST_TEST((used() == std::set<std::string>{"p9"}));
}

BOOST_AUTO_TEST_CASE(without_an_incarnation_apply_to_the_listed_one)
{
    give(upstream_notice{"p2", std::nullopt, true, std::nullopt, ""});
    BOOST_TEST((used(3) == nobody));
    give(upstream_notice{"unknown", std::nullopt, true, std::nullopt, ""});
    BOOST_TEST(all<recall_unsent>().empty());
}

BOOST_AUTO_TEST_CASE(remove_an_engine_from_its_section)
{
    for (int i = 1; i <= 11; ++i) {
        give(upstream_notice{"e" + std::to_string(i), 1, true, std::nullopt, ""});
    }
    for (std::uint64_t session = 0; session < 30; ++session) {
        arrive_generation("/ask/x", session, 500);
        BOOST_TEST(sent_to() == "e12");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(among_daemons, leave_notice_fixture)

BOOST_AUTO_TEST_CASE(are_propagated_to_other_daemons)
{
    const auto report = router.report(now);
    BOOST_REQUIRE(report.leave_notices.size() == 1U);
    router_fixture second;
    auto forwarded = report;
    forwarded.daemon = "entry-2";
    second.give(load_reported{forwarded, {}});
    BOOST_TEST(second.one<recall_unsent>()->upstream == "p1");
    for (int i = 0; i < 10; ++i) {
        second.arrive("/look/x");
        BOOST_TEST(second.sent_to() == "p2");
    }
    // The second daemon reports the notice too, so that a restarted daemon receives it from any of them.
    BOOST_TEST(second.router.report(second.now).leave_notices.size() == 1U);
}

BOOST_AUTO_TEST_CASE(reach_a_restarted_daemon_before_the_directory_does)
{
    auto report = router.report(now);
    report.daemon = "entry-2";
    request_router fresh({"entry-1", "z1", 9, {}});
    fresh.on_event(load_reported{report, {}}, now);
    fresh.on_event(configuration_received{table(1)}, now);
    directory_listed listing;
    listing.records = {upstream("p1", "app"), upstream("p2", "app")};
    fresh.on_event(listing, now);
    request_arrived event;
    event.request = 1;
    event.host = "h";
    event.path = "/look/x";
    event.api_key = "key-a";
    for (const auto& action : fresh.on_event(event, now)) {
        if (const auto* send = std::get_if<send_request>(&action)) {
            BOOST_TEST(send->upstream->id == "p2");
        }
    }
}

BOOST_AUTO_TEST_CASE(are_not_reported_once_the_entry_is_removed)
{
    give(upstream_removed{"p1"});
    BOOST_TEST(router.report(now).leave_notices.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
