#include "adapters/http_client.h"
#include "process/process_deployment.h"
#include "process/raw_connection.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace clementinegap;

namespace {

/// A server that answers the first request of each connection and closes the connection on its second, as one
/// does that stops at the wrong moment. It counts what reached it.
class closing_server {
public:
    closing_server() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        socklen_t length = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
        BOOST_REQUIRE(::listen(listener_, 8) == 0);
        thread_ = std::thread([this] { serve(); });
    }
    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;
    ~closing_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(port_) + "/"; }
    int received() const { return received_; }

private:
    void serve()
    {
        for (int accepted = ::accept(listener_, nullptr, nullptr); accepted >= 0;
             accepted = ::accept(listener_, nullptr, nullptr)) {
            connections_.emplace_back([this, accepted] { serve(raw_connection(accepted)); });
        }
    }

    void serve(raw_connection connection)
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

    int listener_;
    std::uint16_t port_{0};
    std::atomic<int> received_{0};
    std::vector<std::jthread> connections_;
    std::thread thread_;
};

/// Makes one call and waits for its end.
http_end call(http_client& client, const closing_server& server, bool fresh)
{
    http_call request;
    request.method = "POST";
    request.url = server.url();
    request.body = "run";
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
    BOOST_TEST((call(client, server, false).kind == http_end_kind::complete));
    BOOST_TEST((call(client, server, false).kind == http_end_kind::complete));
    // The second call reached the server on the kept connection and again on a new one.
    BOOST_TEST(server.received() == 3);
}

BOOST_AUTO_TEST_CASE(does_not_make_a_never_repeat_run_be_sent_twice)
{
    closing_server server;
    http_client client;
    BOOST_TEST((call(client, server, false).kind == http_end_kind::complete));
    BOOST_TEST((call(client, server, true).kind == http_end_kind::complete));
    BOOST_TEST(server.received() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
