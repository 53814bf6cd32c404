#include "net/tcp_connection.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>

using namespace clementinegap;

namespace {

constexpr duration step_timeout =
    seconds(20); ///< Far above the duration of any step, also on a busy machine.

/// One end of a connection.
struct connection_end : tcp_connection_events {
    explicit connection_end(event_loop& loop) : tcp(loop, *this) {}
    void on_bytes(std::string_view bytes) override
    {
        received += bytes.size();
        on_received(bytes);
    }
    void on_closed(close_cause cause) override { closed = cause; }

    tcp_connection tcp;
    std::size_t received{0};
    std::optional<close_cause> closed;
    std::function<void(std::string_view)> on_received{[](std::string_view) {}};
};

struct connected_ends {
    connected_ends()
        : listener(loop,
                   [this](uv_stream_t* listening) {
                       server = std::make_unique<connection_end>(loop);
                       server->tcp.accept(listening);
                   }),
          client(loop)
    {
        listener.listen("127.0.0.1", 0);
        client.tcp.connect("127.0.0.1", listener.port());
        run_until([this] { return server != nullptr; });
    }
    bool run_until(const std::function<bool()>& done)
    {
        const auto end = event_loop::now() + step_timeout;
        while (!done() && event_loop::now() < end) {
            uv_run(loop.native(), UV_RUN_NOWAIT);
        }
        return done();
    }

    event_loop loop;
    tcp_listener listener;
    std::unique_ptr<connection_end> server;
    connection_end client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_tcp_connection)

// Guards against a peer that sends without end and whose bytes are all read in one iteration of the loop,
// which kept the entry from all other connections.
BOOST_FIXTURE_TEST_CASE(reads_a_bounded_part_in_each_iteration_of_the_loop, connected_ends)
{
    constexpr std::size_t total = std::size_t{8} << 20U;
    const auto most_at_once = loop.read_buffer().len;
    client.tcp.write(std::string(total, 'a'));
    std::size_t most = 0;
    std::size_t before = 0;
    BOOST_TEST(run_until([&] {
        most = std::max(most, server->received - before);
        before = server->received;
        return server->received == total;
    }));
    BOOST_TEST(most <= most_at_once);
}

BOOST_FIXTURE_TEST_CASE(joins_what_is_written_while_a_read_is_handled, connected_ends)
{
    constexpr int pieces = 1000;
    const std::string piece = "one piece";
    std::size_t queued = 0;
    server->on_received = [&](std::string_view) {
        for (int i = 0; i < pieces; ++i) {
            server->tcp.write(piece);
        }
        queued = server->tcp.unwritten();
    };
    int reads = 0;
    client.on_received = [&](std::string_view) { ++reads; };
    client.tcp.write("x");
    BOOST_TEST(run_until([&] { return client.received == pieces * piece.size(); }));
    BOOST_TEST(queued == pieces * piece.size());
    BOOST_TEST(server->tcp.unwritten() == 0U);
    BOOST_TEST(reads < pieces / 10);
}

BOOST_AUTO_TEST_SUITE(delivers_what_was_written_while_a_read_was_handled)

BOOST_FIXTURE_TEST_CASE(before_it_shuts_down, connected_ends)
{
    server->on_received = [&](std::string_view) {
        server->tcp.write("answer");
        server->tcp.end_writing();
    };
    client.tcp.write("x");
    BOOST_TEST(run_until([&] { return client.closed.has_value(); }));
    BOOST_TEST((client.closed == close_cause::end_of_stream));
    BOOST_TEST(client.received == 6U);
}

BOOST_FIXTURE_TEST_CASE(before_it_is_closed, connected_ends)
{
    server->on_received = [&](std::string_view) {
        server->tcp.write("answer");
        server->tcp.close();
    };
    client.tcp.write("x");
    BOOST_TEST(run_until([&] { return client.closed.has_value(); }));
    BOOST_TEST(client.received == 6U);
}

BOOST_FIXTURE_TEST_CASE(to_another_connection, connected_ends)
{
    connection_end other(loop);
    auto first = std::move(server);
    other.tcp.connect("127.0.0.1", listener.port());
    BOOST_REQUIRE(run_until([&] { return server != nullptr; }));
    first->on_received = [&](std::string_view bytes) { server->tcp.write(std::string(bytes)); };
    client.tcp.write("passed on");
    BOOST_TEST(run_until([&] { return other.received == 9; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_reset_by_its_peer)

struct ends_with_a_part_received : connected_ends {
    /// The peer sends a part and resets the connection.
    void reset_by_peer()
    {
        server->tcp.write("part");
        server->tcp.reset_on_close();
        server->tcp.close();
    }
    void check_that_the_connection_ends_by(close_cause cause)
    {
        BOOST_TEST(run_until([&] { return client.closed.has_value(); }));
        BOOST_TEST((client.closed == cause));
        BOOST_TEST(client.received == 4U);
    }

    static constexpr std::size_t more_than_the_system_takes = std::size_t{32} << 20U;
};

// Guards against taking what came before a reset for the whole of a message. The system reports a reset once:
// to the first call that asks, which may be one that writes; a read sees an orderly end after that.
BOOST_AUTO_TEST_SUITE(reports_the_reset)

BOOST_FIXTURE_TEST_CASE(if_it_is_read_first, ends_with_a_part_received)
{
    reset_by_peer();
    check_that_the_connection_ends_by(close_cause::reset);
}

BOOST_FIXTURE_TEST_CASE(if_a_write_comes_first, ends_with_a_part_received)
{
    reset_by_peer();
    client.tcp.write("more of the upload");
    check_that_the_connection_ends_by(close_cause::reset);
}

BOOST_FIXTURE_TEST_CASE(if_several_writes_come_first, ends_with_a_part_received)
{
    reset_by_peer();
    client.tcp.write("more of the upload");
    client.tcp.write("and more of it");
    client.tcp.end_writing();
    check_that_the_connection_ends_by(close_cause::reset);
}

BOOST_FIXTURE_TEST_CASE(if_a_write_waits_that_the_system_did_not_take_at_once, ends_with_a_part_received)
{
    server->tcp.pause(true);
    client.tcp.write(std::string(more_than_the_system_takes, 'a'));
    BOOST_REQUIRE(client.tcp.backlog() > 0U);
    reset_by_peer();
    client.tcp.write("more of the upload");
    check_that_the_connection_ends_by(close_cause::reset);
}

BOOST_FIXTURE_TEST_CASE(if_a_waiting_write_fails_while_reading_is_paused, ends_with_a_part_received)
{
    server->tcp.pause(true);
    client.tcp.write(std::string(more_than_the_system_takes, 'a'));
    client.tcp.pause(true);
    reset_by_peer();
    BOOST_REQUIRE(run_until([&] { return client.tcp.unwritten() == 0; }));
    client.tcp.pause(false);
    check_that_the_connection_ends_by(close_cause::reset);
}

BOOST_AUTO_TEST_SUITE_END()

// A server may answer early and end its stream; what is still sent to it resets the connection after that.
BOOST_AUTO_TEST_SUITE(reports_the_end_of_the_stream_that_came_before)

BOOST_FIXTURE_TEST_CASE(if_writes_come_first, ends_with_a_part_received)
{
    server->tcp.write("part");
    server->tcp.close();
    client.tcp.write("more of the upload");
    client.tcp.write("and more of it");
    check_that_the_connection_ends_by(close_cause::end_of_stream);
}

BOOST_FIXTURE_TEST_CASE(if_a_write_waits_that_the_system_did_not_take_at_once, ends_with_a_part_received)
{
    server->tcp.pause(true);
    client.tcp.write(std::string(more_than_the_system_takes, 'a'));
    client.tcp.pause(true);
    server->tcp.write("part");
    server->tcp.end_writing();
    for (int iteration = 0; iteration < 10; ++iteration) {
        uv_run(loop.native(), UV_RUN_NOWAIT);
    }
    server->tcp.reset_on_close();
    server->tcp.close();
    client.tcp.pause(false);
    check_that_the_connection_ends_by(close_cause::end_of_stream);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
