#include "adapters/http_client.h"
#include "adapters/platform_client.h"
#include "process/broken_answers.h"
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

/// Makes one call and waits for its end. \param received gets the bytes of the answer's body.
http_end call(http_client& client, const std::string& url, bool fresh, std::string body = "run",
              std::string* received = nullptr)
{
    http_call request;
    request.method = "POST";
    request.url = url;
    request.body = std::move(body);
    request.fresh_connection = fresh;
    std::atomic<bool> done{false};
    http_end result;
    http_call_events events;
    events.on_bytes = [&](std::string_view bytes) {
        if (received != nullptr) {
            received->append(bytes);
        }
    };
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

// Guards against passing on an answer that the standard calls invalid, as libcurl takes it or repaired, and
// against reporting that nothing was sent when the bytes that came are no HTTP.
BOOST_AUTO_TEST_CASE(is_broken_if_it_is_not_a_valid_response)
{
    auto answers = testing::broken_answers();
    for (const auto* answer :
         {"HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok", "no answer at all\r\n\r\n"}) {
        answers.emplace_back(answer);
    }
    for (const auto& answer : answers) {
        std::atomic<int> connections{0};
        scripted_server server([&](raw_connection& connection) {
            ++connections;
            while (!connection.read_until("run").empty()) {
                connection.send(answer);
            }
        });
        http_client client;
        for (int i = 1; i <= 2; ++i) {
            const auto end = call(client, server.url(), false);
            BOOST_TEST((end.kind == http_end_kind::broken), answer);
            BOOST_TEST(end.status == 0, answer);
            BOOST_TEST(!end.problem.empty(), answer);
            BOOST_TEST(connections == i, answer);
        }
    }
}

// Guards against taking a write for refused because of the status in an answer that broke.
BOOST_AUTO_TEST_CASE(leaves_the_outcome_of_a_write_unknown)
{
    scripted_server server([](raw_connection& connection) {
        connection.read_until("\r\n\r\n");
        connection.send("HTTP/1.1 503 x\r\nContent-Length: 9\r\n\r\n{}");
    });
    platform_client platform(server.url(), seconds(5));
    std::atomic<bool> done{false};
    transaction_result result;
    platform.transact({}, [&](const transaction_result& got) {
        result = got;
        done = true;
    });
    BOOST_REQUIRE(eventually([&] { return done.load(); }));
    BOOST_TEST((result.result == store_result::unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_sound_answer)

BOOST_AUTO_TEST_CASE(is_complete_in_any_framing)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto& answer :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
          std::string("HTTP/1.1 200 \r\nX-Name: \xe9\r\nX-Empty:\r\ncontent-length:2\r\n\r\nok"),
          std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
          std::string("HTTP/1.1 200 OK\r\n\r\nok"), std::string("HTTP/1.0 200 OK\r\n\r\nok"),
          chunked + "2\r\nok\r\n0\r\n\r\n",
          chunked + "1;a=\"b\"\r\no\r\n01\r\nk\r\n0\r\nX-Name: v\r\n\r\n"}) {
        for (const std::size_t piece : {answer.size(), std::size_t{1}}) {
            scripted_server server([&](raw_connection& connection) {
                connection.read_until("run");
                for (std::string_view rest = answer; !rest.empty();
                     rest.remove_prefix(std::min(piece, rest.size()))) {
                    connection.send(rest.substr(0, piece));
                }
            });
            http_client client;
            std::string received;
            const auto end = call(client, server.url(), true, "run", &received);
            BOOST_TEST((end.kind == http_end_kind::complete), answer);
            BOOST_TEST(end.status == 200, answer);
            BOOST_TEST(received == "ok", answer);
        }
    }
}

BOOST_AUTO_TEST_CASE(has_no_body_if_its_status_rules_it_out)
{
    for (const std::string answer :
         {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"}) {
        scripted_server server([&](raw_connection& connection) {
            while (!connection.read_until("run").empty()) {
                connection.send(answer);
            }
        });
        http_client client;
        for (int i = 0; i < 2; ++i) {
            std::string received;
            BOOST_TEST((call(client, server.url(), false, "run", &received).kind == http_end_kind::complete),
                       answer);
            BOOST_TEST(received.empty(), answer);
        }
    }
}

// Guards against taking bytes that follow an answer for the answer to the next call.
BOOST_AUTO_TEST_CASE(leaves_a_connection_that_is_not_used_again_if_bytes_follow_it)
{
    for (const std::string answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
        std::atomic<int> connections{0};
        scripted_server server([&](raw_connection& connection) {
            ++connections;
            while (!connection.read_until("run").empty()) {
                connection.send(answer + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
            }
        });
        http_client client;
        for (int i = 1; i <= 2; ++i) {
            std::string received;
            BOOST_TEST((call(client, server.url(), false, "run", &received).kind == http_end_kind::complete),
                       answer);
            BOOST_TEST(received == "ok", answer);
            BOOST_TEST(connections == i, answer);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
