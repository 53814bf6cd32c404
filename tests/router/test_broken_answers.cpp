#include "process/scripted_server.h"
#include "router/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>

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

/// A gateway whose only upstream is a scripted server. `{id}` in an answer stands for the id of its request.
struct scripted_upstream_fixture : gateway_fixture {
    explicit scripted_upstream_fixture(scripted_server::script serve) : server(std::move(serve))
    {
        allow_bodies(std::size_t{4} << 20U);
        store.erase("servers", "u2");
        store.put("servers", "u1",
                  R"({"service":"app","address":"127.0.0.1:)" + std::to_string(server.port()) +
                      R"(","zone":"z","slots":6,"state":"ready","born":2})");
        // The stand-in store responds within a few iterations of the loop.
        const auto settled = event_loop::now() + milliseconds(60);
        run_until([&] { return event_loop::now() > settled; });
    }

    scripted_server server;
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
