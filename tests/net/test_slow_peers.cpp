#include "net/tcp_connection.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace clementinegap;

namespace {

/// A connection that writes to a reader with a small window. The reader is a plain socket.
class writer_and_reader : public tcp_connection_events {
public:
    static constexpr int receive_buffer = 4096;
    static constexpr int segment_bytes = 1400;

    writer_and_reader()
        : listener_(loop_,
                    [this](uv_stream_t* listening) {
                        writer_ = std::make_unique<tcp_connection>(loop_, *this);
                        writer_->accept(listening);
                        writer_->set_keepalive_limits({});
                    }),
          reader_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        listener_.listen("127.0.0.1", 0);
        ::setsockopt(reader_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        ::setsockopt(reader_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(listener_.port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(::connect(reader_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        while (!writer_) {
            uv_run(loop_.native(), UV_RUN_NOWAIT);
        }
    }
    writer_and_reader(const writer_and_reader&) = delete;
    writer_and_reader& operator=(const writer_and_reader&) = delete;
    ~writer_and_reader() override { ::close(reader_); }

    tcp_connection& writer() { return *writer_; }
    bool is_closed() const { return closed_; }
    /// Reads at this pace until it has so many bytes or the connection ends. \returns the bytes read.
    std::size_t read_slowly(std::size_t bytes, std::size_t bytes_per_second)
    {
        constexpr int reads_per_second = 20;
        std::vector<char> memory(bytes_per_second / reads_per_second);
        std::size_t got = 0;
        auto next = event_loop::now();
        while (got < bytes && !closed_) {
            uv_run(loop_.native(), UV_RUN_NOWAIT);
            if (event_loop::now() < next) {
                ::usleep(1000);
                continue;
            }
            next += milliseconds(1000 / reads_per_second);
            const auto count = ::recv(reader_, memory.data(), memory.size(), MSG_DONTWAIT);
            if (count == 0) {
                break;
            }
            got += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        return got;
    }
    void run_for(duration span)
    {
        for (const auto end = event_loop::now() + span; event_loop::now() < end && !closed_;) {
            uv_run(loop_.native(), UV_RUN_NOWAIT);
            ::usleep(1000);
        }
    }

private:
    void on_bytes(std::string_view) override {}
    void on_closed(close_cause) override { closed_ = true; }

    event_loop loop_;
    tcp_listener listener_;
    std::unique_ptr<tcp_connection> writer_;
    int reader_;
    bool closed_{false};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_connection_to_a_peer_that_reads_slowly)

// Guards against a user timeout of the system, which counts the time in which no whole segment fits the
// window and reset connections to readers that were slow but steady.
BOOST_FIXTURE_TEST_CASE(stays_open_while_the_peer_takes_some_bytes, writer_and_reader)
{
    constexpr std::size_t bytes = 36000;
    constexpr std::size_t bytes_per_second = 6000;
    writer().write(std::string(bytes, 'a'));
    BOOST_TEST(read_slowly(bytes, bytes_per_second) == bytes);
    BOOST_TEST(!is_closed());
}

BOOST_FIXTURE_TEST_CASE(knows_what_the_peer_has_yet_to_receive, writer_and_reader)
{
    constexpr std::size_t bytes = std::size_t{64} * 1024;
    writer().write(std::string(bytes, 'a'));
    run_for(milliseconds(100));
    BOOST_TEST(writer().undelivered() > bytes / 2);
    BOOST_TEST(read_slowly(bytes, std::size_t{4} << 20U) == bytes);
    run_for(milliseconds(100));
    BOOST_TEST(writer().undelivered() == 0U);
}

BOOST_FIXTURE_TEST_CASE(is_reset_once_the_peer_has_taken_nothing_for_long, writer_and_reader)
{
    writer().write(std::string(std::size_t{64} * 1024, 'a'));
    run_for(delivery_monitor::stall_limit - seconds(1));
    BOOST_TEST(!is_closed());
    run_for(seconds(3));
    BOOST_TEST(is_closed());
}

BOOST_AUTO_TEST_SUITE_END()
