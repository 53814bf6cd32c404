#include "process/process_deployment.h"
#include "process/raw_connection.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

constexpr std::size_t piece_bytes = 65536;

/// An engine whose answer is as long as it is let to be: it writes the next piece when one was taken.
class flood_engine {
public:
    explicit flood_engine(std::size_t pieces) : pieces_(pieces)
    {
        http_server_events events;
        events.on_request = [this](const http_request& request) { start(request.exchange); };
        events.on_drained = [this](exchange_id, std::uint32_t bytes) { drained_ += bytes; };
        const auto started = server_.start({}, std::move(events));
        BOOST_REQUIRE(started.has_value());
    }
    flood_engine(const flood_engine&) = delete;
    flood_engine& operator=(const flood_engine&) = delete;
    ~flood_engine()
    {
        stopping_ = true;
        if (writer_.joinable()) {
            writer_.join();
        }
        server_.stop();
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(server_.port()); }
    std::size_t sent() const { return sent_; }

private:
    void start(exchange_id exchange)
    {
        server_.begin(exchange, 200, {{"Content-Type", "text/event-stream"}});
        writer_ = std::thread([this, exchange] { write(exchange); });
    }

    void write(exchange_id exchange)
    {
        const auto event = "data: " + std::string(piece_bytes - 8, 'x') + "\n\n";
        for (std::size_t i = 0; i < pieces_ && !stopping_;) {
            if (sent_ > drained_ + 2 * piece_bytes) {
                std::this_thread::sleep_for(std::chrono::microseconds(100));
                continue;
            }
            server_.write(exchange, event);
            sent_ += event.size();
            ++i;
        }
        server_.write(exchange, "data: [DONE]\n\n");
        server_.end(exchange);
    }

    std::size_t pieces_;
    http_server server_;
    std::atomic<std::size_t> sent_{0};
    std::atomic<std::size_t> drained_{0};
    std::atomic<bool> stopping_{false};
    std::thread writer_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_slow_reader)

BOOST_AUTO_TEST_CASE(holds_the_engine_back_instead_of_filling_memory)
{
    // Between the engine and the caller lie the window of 256 KiB, gRPC's window and the sockets' buffers of
    // three connections; the answer is many times that.
    constexpr std::size_t pieces = 2048;
    constexpr std::size_t bound = 32U << 20U;
    flood_engine engine(pieces);
    process_deployment daemon(engine.url());
    raw_connection caller(daemon.port());
    caller.send(request_text("POST", "/v1/chat/completions",
                             R"({"model":"assistant","stream":true,"messages":[]})",
                             "Authorization: Bearer test-key\r\nConnection: close\r\n"));
    BOOST_REQUIRE(!caller.read(1).empty());
    // Until the engine has written nothing for half a second, or everything.
    std::size_t seen = 0;
    for (int still = 0; still < 50; seen = engine.sent()) {
        still = engine.sent() == seen ? still + 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    BOOST_TEST_MESSAGE("the engine wrote " << engine.sent() << " bytes before it was held back");
    BOOST_TEST(engine.sent() < bound);
    std::size_t received = 0;
    bool ended = false;
    for (auto more = caller.read(1U << 20U); !more.empty(); more = caller.read(1U << 20U)) {
        received += more.size();
        ended = ended || more.find("[DONE]") != std::string::npos;
    }
    BOOST_TEST(ended);
    BOOST_TEST(received >= pieces * piece_bytes);
}

BOOST_AUTO_TEST_CASE(that_always_lags_a_little_does_not_keep_what_it_took)
{
    constexpr std::size_t total = 64U << 20U;
    constexpr std::size_t lag = 4U << 20U;
    http_server server;
    std::atomic<exchange_id> exchange{0};
    http_server_events events;
    events.on_request = [&](const http_request& request) { exchange = request.exchange; };
    const auto started = server.start({}, std::move(events));
    BOOST_REQUIRE(started.has_value());
    raw_connection caller(server.port());
    caller.send(request_text("GET", "/", ""));
    BOOST_REQUIRE(eventually([&] { return exchange != 0; }));
    server.begin(exchange, 200, {});
    const std::string piece(piece_bytes, 'x');
    std::size_t most = 0;
    std::size_t written = 0;
    std::size_t read = 0;
    while (written < total) {
        // The sockets hold up to some MiB, so the server's buffer is never empty at this lag once they are
        // full.
        server.write(exchange, piece);
        written += piece.size();
        most = std::max(most, server.buffered());
        while (written - read > 4 * lag) {
            read += caller.read(piece_bytes).size();
        }
    }
    BOOST_TEST(most <= 8 * lag);
    server.stop();
}

BOOST_AUTO_TEST_SUITE_END()
