#include "adapters/http_client.h"
#include "process/process_deployment.h"
#include "process/scripted_server.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

/// A server that answers the first request of each connection and closes the connection on its second, as one
/// does that stops at the wrong moment. It counts what reached it.
class closing_server {
public:
    std::string url() const { return server_.url(); }
    int received() const { return received_; }

private:
    void serve(raw_connection& connection)
    {
        if (connection.read_until("\r\n\r\nrun").empty()) {
            return;
        }
        ++received_;
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        if (!connection.read_until("\r\n\r\nrun").empty()) {
            ++received_;
        }
    }

    std::atomic<int> received_{0};
    scripted_server server_{[this](raw_connection& connection) { serve(connection); }};
};

/// Makes one call and waits for its end.
http_end call(http_client& client, const std::string& url, bool fresh, std::string body = "run")
{
    http_call request;
    request.method = "POST";
    request.url = url;
    request.body = std::move(body);
    request.fresh_connection = fresh;
    std::atomic<bool> done{false};
    http_end result;
    http_call_events events;
    events.on_end = [&](const http_end& end) {
        result = end;
        done = true;
    };
    client.start(std::move(request), std::move(events));
    BOOST_REQUIRE(eventually([&] { return done.load(); }));
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_kept_connection_that_the_engine_closes)

BOOST_AUTO_TEST_CASE(makes_libcurl_send_a_request_twice)
{
    closing_server server;
    http_client client;
    BOOST_TEST((call(client, server.url(), false).kind == http_end_kind::complete));
    BOOST_TEST((call(client, server.url(), false).kind == http_end_kind::complete));
    // The second call reached the server on the kept connection and again on a new one.
    BOOST_TEST(server.received() == 3);
}

BOOST_AUTO_TEST_CASE(does_not_make_a_never_repeat_run_be_sent_twice)
{
    closing_server server;
    http_client client;
    BOOST_TEST((call(client, server.url(), false).kind == http_end_kind::complete));
    BOOST_TEST((call(client, server.url(), true).kind == http_end_kind::complete));
    BOOST_TEST(server.received() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_of_a_server_in_trouble)

// Guards against taking the part of an answer without a length that came before a reset for the whole answer.
BOOST_AUTO_TEST_CASE(is_broken_if_it_has_no_length_and_is_reset_during_a_long_upload)
{
    for (const std::size_t sent : {std::size_t{4} * 1024, std::size_t{256} * 1024}) {
        scripted_server server([&](raw_connection& connection) {
            connection.read_until("\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(sent, 'a'));
            // Closing with unread bytes of the upload resets the connection.
        });
        http_client client;
        const auto end = call(client, server.url(), true, std::string(std::size_t{8} << 20U, 'b'));
        BOOST_TEST((end.kind == http_end_kind::broken), sent);
    }
}

BOOST_AUTO_TEST_CASE(is_broken_if_it_has_no_length_and_is_reset_at_once)
{
    scripted_server server([&](raw_connection& connection) {
        connection.read_until("\r\n\r\n");
        connection.send("HTTP/1.1 200 OK\r\n\r\n" + std::string(4000, 'a'));
        connection.reset();
    });
    http_client client;
    const std::string upload(3'000'000, 'b');
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST((call(client, server.url(), true, upload).kind == http_end_kind::broken));
    }
}

// Guards against passing on an answer whose status is no status, and against reporting that nothing was sent
// when the bytes that came are no HTTP.
BOOST_AUTO_TEST_CASE(is_broken_if_it_is_not_a_valid_response)
{
    for (const std::string answer :
         {"HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok",
          "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok",
          "no answer at all\r\n\r\n"}) {
        scripted_server server([&](raw_connection& connection) {
            connection.read_until("run");
            connection.send(answer);
        });
        http_client client;
        BOOST_TEST((call(client, server.url(), true).kind == http_end_kind::broken), answer);
    }
}

BOOST_AUTO_TEST_SUITE_END()
