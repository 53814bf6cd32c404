#include "router/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace clementinegap;
using namespace clementinegap::testing;

namespace {

/// A caller with a small receive buffer that reads only when told to.
class reluctant_caller {
public:
    reluctant_caller(std::uint16_t port, const std::string& request)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int receive_buffer = 4096;
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        BOOST_REQUIRE(::send(socket_, request.data(), request.size(), 0) ==
                      static_cast<ssize_t>(request.size()));
    }
    reluctant_caller(const reluctant_caller&) = delete;
    reluctant_caller& operator=(const reluctant_caller&) = delete;
    ~reluctant_caller() { ::close(socket_); }

    /// Takes what has arrived.
    void read()
    {
        std::vector<char> memory(std::size_t{64} * 1024);
        const auto count = ::recv(socket_, memory.data(), memory.size(), MSG_DONTWAIT);
        received_.append(memory.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    const std::string& received() const { return received_; }

private:
    int socket_;
    std::string received_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_caller_that_reads_slowly)

// Guards against a stop that ends the process, and with it queued bytes, as soon as no request is open.
BOOST_FIXTURE_TEST_CASE(gets_all_that_is_queued_for_it_before_a_planned_stop_ends, gateway_fixture)
{
    upstream.script({routed_upstream::behaviour::long_answer});
    other.script({routed_upstream::behaviour::long_answer});
    reluctant_caller caller(gateway->port(), request("/look/x", "slow", "Connection: close\r\n", "x"));
    BOOST_REQUIRE(run_until([&] { return gateway->open_requests() == 1; }));
    gateway->stop_accepting_work();
    BOOST_REQUIRE(run_until([&] {
        caller.read();
        return gateway->open_requests() == 0;
    }));
    BOOST_TEST(caller.received().size() < routed_upstream::long_answer_bytes);
    BOOST_TEST(!gateway->close_idle());
    BOOST_REQUIRE(run_until([&] {
        caller.read();
        return gateway->close_idle();
    }));
    caller.read();
    BOOST_TEST(caller.received().size() > routed_upstream::long_answer_bytes);
    BOOST_TEST(caller.received().ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_byte_budget)

BOOST_AUTO_TEST_CASE(lets_few_peers_queue_much_and_many_stay_within_it)
{
    constexpr std::size_t limit = std::size_t{8} << 20U;
    byte_budget budget;
    budget.set_limit(limit);
    BOOST_TEST(budget.queue_share() == byte_budget::largest_queue);
    std::vector<std::unique_ptr<byte_reservation>> queues;
    for (int peer = 0; peer < 100; ++peer) {
        const auto share = budget.queue_share();
        queues.push_back(std::make_unique<byte_reservation>(budget));
        queues.back()->resize(share);
    }
    BOOST_TEST(budget.used() <= limit);
    BOOST_TEST(budget.queue_share() < std::size_t{1} << 20U);
}

BOOST_AUTO_TEST_SUITE_END()
