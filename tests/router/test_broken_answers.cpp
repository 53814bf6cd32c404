#include "process/broken_answers.h"
#include "process/scripted_server.h"
#include "router/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>
#include <string_view>
#include <vector>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

/// The value of a header in the bytes of a request.
std::string header_in(std::string_view request, std::string_view name)
{
    const auto at = request.find(name) + name.size() + 2;
    return std::string(request.substr(at, request.find('\r', at) - at));
}

std::string with_id(std::string answer, std::string_view request)
{
    constexpr std::string_view placeholder = "{id}";
    if (const auto at = answer.find(placeholder); at != std::string::npos) {
        answer.replace(at, placeholder.size(), header_in(request, "X-Request-Id"));
    }
    return answer;
}

const std::string sealed_fields = "X-Request-Id: {id}\r\nX-Response-Seal: s.1\r\n";
const std::string sealed_head = "HTTP/1.1 200 OK\r\n" + sealed_fields;

/// A gateway whose first upstream is a scripted server. `{id}` in an answer stands for the id of its request.
struct scripted_upstream_fixture : gateway_fixture {
    enum class others { none, sound };

    explicit scripted_upstream_fixture(scripted_server::script serve, others beside = others::none)
        : server(std::move(serve))
    {
        allow_bodies(std::size_t{4} << 20U);
        if (beside == others::none) {
            store.erase("servers", "u2");
        }
        store.put("servers", "u1",
                  R"({"service":"app","address":"127.0.0.1:)" + std::to_string(server.port()) +
                      R"(","zone":"z","slots":6,"state":"ready","born":2})");
        // The stand-in store responds within a few iterations of the loop.
        const auto settled = event_loop::now() + milliseconds(60);
        run_until([&] { return event_loop::now() > settled; });
    }

    scripted_server server;
};

/// Answers each request on a connection with the same bytes until the entry closes the connection.
class repeating_server {
public:
    explicit repeating_server(std::string answer) : answer_(std::move(answer)) {}
    void serve(raw_connection& connection)
    {
        ++connections_;
        for (auto request = connection.read_until(head_end); request.find(head_end) != std::string::npos;
             request = connection.read_until(head_end)) {
            ++requests_;
            connection.send(with_id(answer_, request));
        }
    }
    int connections() const { return connections_; }
    int requests() const { return requests_; }

private:
    static constexpr std::string_view head_end = "\r\n\r\n";

    std::string answer_;
    std::atomic<int> connections_{0};
    std::atomic<int> requests_{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_answer_without_a_length)

// Guards against passing on, as a whole answer, the part that came before a reset. The upload is long enough
// to be written still when the reset comes.
BOOST_AUTO_TEST_CASE(is_no_answer_if_it_is_reset_during_a_long_upload)
{
    for (const auto& bytes : {sealed_head + "\r\n" + std::string(4000, 'a'), sealed_head + "\r\n",
                              "HTTP/1.1 500 x\r\n" + sealed_fields + "\r\n" + std::string(4000, 'a')}) {
        scripted_upstream_fixture at([&](raw_connection& connection) {
            const auto request = connection.read_until("\r\n\r\n");
            connection.send(with_id(bytes, request));
            connection.reset();
        });
        for (int call = 0; call < 6; ++call) {
            const auto got = at.call("/book/x", "", std::string(3'000'000, 'b'));
            // An upstream whose answers break is left alone after a while.
            BOOST_TEST((got.status == 502 || got.status == 503), got.status);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_with_a_length)

BOOST_AUTO_TEST_CASE(is_passed_on_if_it_came_whole_before_the_reset)
{
    scripted_upstream_fixture at([&](raw_connection& connection) {
        const auto request = connection.read_until("\r\n\r\n");
        connection.send(with_id(sealed_head + "Content-Length: 4000\r\n\r\n", request) +
                        std::string(4000, 'a'));
        connection.reset();
    });
    for (int call = 0; call < 6; ++call) {
        const auto got = at.call("/book/x", "", std::string(3'000'000, 'b'));
        BOOST_TEST(got.status == 200);
        BOOST_TEST(got.body.size() == 4000U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against passing on an answer that the standard calls invalid, as it came or repaired.
BOOST_AUTO_TEST_SUITE(a_broken_answer)

BOOST_AUTO_TEST_CASE(is_not_passed_on_and_its_connection_is_not_used_again)
{
    for (const auto& answer : broken_answers(sealed_fields)) {
        BOOST_TEST_CONTEXT(answer)
        {
            repeating_server server(answer);
            scripted_upstream_fixture at([&](raw_connection& connection) { server.serve(connection); });
            for (int call = 1; call <= 2; ++call) {
                const auto got = at.call("/book/x");
                BOOST_TEST(got.status == 502);
                BOOST_TEST(got.body.find(R"("ran":"unknown")") != std::string::npos);
                BOOST_TEST(server.connections() == call);
            }
        }
    }
}

// Guards against telling a caller that its request did not run, which a complete answer alone can say.
BOOST_AUTO_TEST_CASE(does_not_say_that_the_request_did_not_run)
{
    const std::string refusal = "HTTP/1.1 503 x\r\n" + sealed_fields + "X-Not-Executed: 1\r\n";
    for (const auto& answer :
         {refusal + "Content-Length: 9\r\n\r\nok", refusal + "X Name: v\r\nContent-Length: 2\r\n\r\nok",
          refusal + "Transfer-Encoding: chunked\r\n\r\n2\r\nokxy0\r\n\r\n",
          "HTTP/1.1 421 x\r\n" + sealed_fields + "Content-Length: 9\r\n\r\nok",
          refusal + "Content-Length: 9000000\r\n\r\n" + std::string(4'000'000, 'a')}) {
        BOOST_TEST_CONTEXT(answer.substr(0, 200))
        {
            scripted_upstream_fixture at([&](raw_connection& connection) {
                const auto request = connection.read_until("\r\n\r\n");
                connection.send(with_id(answer, request));
                connection.reset();
            });
            const auto got = at.call("/book/x");
            BOOST_TEST(got.status == 502);
            BOOST_TEST(got.body.find(R"("ran":"unknown")") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(is_replaced_by_that_of_another_upstream_where_that_is_allowed)
{
    for (const auto& answer : broken_answers(sealed_fields)) {
        BOOST_TEST_CONTEXT(answer)
        {
            repeating_server server(answer);
            scripted_upstream_fixture at([&](raw_connection& connection) { server.serve(connection); },
                                         scripted_upstream_fixture::others::sound);
            for (int call = 0; call < 4; ++call) {
                const auto got = at.call("/look/x");
                BOOST_TEST(got.status == 200);
                BOOST_TEST(got.body == "the upstream's own bytes");
            }
            BOOST_TEST(server.requests() > 0);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
