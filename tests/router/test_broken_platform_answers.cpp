#include "process/broken_answers.h"
#include "process/scripted_server.h"
#include "router/configuration_fetch.h"
#include "router/store_link.h"
#include "router/timed_call.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

constexpr duration step_timeout = seconds(20); ///< Far above any step, also on a busy machine.
constexpr auto malformed = "malformed HTTP response";

/// A store, relay, peer or service of the platform that gives one broken answer to each request.
struct broken_platform {
    explicit broken_platform(std::string bytes) : answer(std::move(bytes)) {}

    endpoint address() const { return {"127.0.0.1", server.port()}; }
    /// Runs the loop, and `step` in it now and then, until `done`.
    bool run_until(
        const std::function<bool()>& done, const std::function<void()>& step = [] {})
    {
        const std::function<void()> wake = [&] {
            step();
            loop.wake_at(event_loop::now() + milliseconds(5), wake);
        };
        wake();
        const auto end = event_loop::now() + step_timeout;
        while (!done() && event_loop::now() < end) {
            uv_run(loop.native(), UV_RUN_ONCE);
        }
        loop.wake_at(never, [] {});
        return done();
    }

    event_loop loop;
    std::string answer;
    std::atomic<int> closed{0}; ///< Connections that the daemon has closed.
    scripted_server server{[this](raw_connection& connection) {
        while (!connection.read_until("\r\n\r\n").empty()) {
            connection.send(answer);
        }
        ++closed;
    }};
};

} // namespace

// Guards against taking what a server in trouble sent for an answer of the platform.
BOOST_AUTO_TEST_SUITE(a_broken_answer_of_the_platform)

BOOST_AUTO_TEST_CASE(is_no_answer_to_a_call_of_a_duty)
{
    for (const auto& answer : broken_answers()) {
        broken_platform at(answer);
        std::optional<timed_call::result> got;
        timed_call call(at.loop, [&](const timed_call::result& result) { got = result; });
        const auto now = event_loop::now();
        call.start(at.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", now + step_timeout, now);
        BOOST_REQUIRE(at.run_until([&] { return got.has_value(); }));
        BOOST_TEST(got->head.status == 0, answer);
        BOOST_TEST(got->error == malformed, answer);
        BOOST_TEST(at.run_until([&] { return at.closed == 1; }));
    }
}

BOOST_AUTO_TEST_CASE(is_no_page_of_the_store_nor_of_a_relay)
{
    for (const bool is_relay : {false, true}) {
        for (const auto& answer : broken_answers()) {
            broken_platform at(answer);
            std::optional<table_reader::call_result> got;
            table_reader reader(
                at.loop, at.address(), table_follower("servers", 1),
                [&](const table_follower::progress& read) { BOOST_TEST(!read.is_snapshot, answer); },
                [&](const table_reader::call_result& result) { got = got ? got : result; });
            if (is_relay) {
                reader.read_from(at.address());
            }
            BOOST_REQUIRE(
                at.run_until([&] { return got.has_value(); }, [&] { reader.run(event_loop::now()); }));
            BOOST_TEST(!got->succeeded, answer);
            BOOST_TEST(got->from_relay == is_relay, answer);
            BOOST_TEST(got->error == malformed, answer);
            BOOST_TEST(at.run_until([&] { return at.closed >= 1; }));
        }
    }
}

BOOST_AUTO_TEST_CASE(does_not_acknowledge_the_write_of_a_row)
{
    for (const auto& answer : broken_answers()) {
        broken_platform at(answer);
        row_writer writer(at.loop, at.address(), "daemons", "own", "address");
        writer.run(event_loop::now());
        const auto sent = event_loop::now();
        at.run_until([&] { return event_loop::now() > sent + milliseconds(30); });
        BOOST_TEST(!writer.done(), answer);
        BOOST_TEST((writer.due() != never), answer);
    }
}

BOOST_AUTO_TEST_CASE(is_no_configuration_of_a_peer)
{
    for (const auto& answer : broken_answers()) {
        broken_platform at(answer);
        configuration_fetch fetch(at.loop,
                                  [&](const std::string& text) { BOOST_ERROR(text + " of " + answer); });
        fetch.start(at.address());
        const auto sent = event_loop::now();
        at.run_until([&] { return event_loop::now() > sent + milliseconds(30); });
    }
}

BOOST_AUTO_TEST_SUITE_END()
