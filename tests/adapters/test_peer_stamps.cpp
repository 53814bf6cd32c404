#include "adapters/peer_client.h"
#include "adapters/peer_server.h"
#include "adapters/runtime.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace clementinegap;

namespace {

constexpr auto patience = std::chrono::seconds(20);

} // namespace

BOOST_AUTO_TEST_SUITE(two_daemons_on_a_peer_stream)

BOOST_AUTO_TEST_CASE(carry_their_logical_times_on_the_frames)
{
    hybrid_clock entry_clock;
    hybrid_clock upstream_clock;
    // The entry saw a time half a minute ahead of its wall clock, as of a VM whose clock is off.
    const auto ahead = process_now() + seconds(30);
    BOOST_REQUIRE(entry_clock.witness({ahead.time_since_epoch().count(), 7}, process_now()));
    std::promise<session_id> connected;
    std::promise<void> asked;
    std::promise<void> answered;
    peer_server server(
        [&](const upstream_event& event) {
            if (const auto* opened = std::get_if<entry_connected>(&event)) {
                connected.set_value(opened->session);
            } else if (std::holds_alternative<entry_message_received>(event)) {
                asked.set_value();
            }
            return true;
        },
        {}, upstream_clock);
    BOOST_REQUIRE(server.start("127.0.0.1:0").has_value());
    peer_client client(
        [&](const entry_event& event) {
            if (std::holds_alternative<upstream_message_received>(event)) {
                answered.set_value();
            }
            return true;
        },
        {}, entry_clock);
    client.connect_to({{"upstream-1", "127.0.0.1:" + std::to_string(server.port())}});
    auto session = connected.get_future();
    BOOST_REQUIRE((session.wait_for(patience) == std::future_status::ready));
    BOOST_TEST((upstream_clock.latest() < entry_clock.latest()));

    client.send("upstream-1", cancel_message{{1, 2}});
    client.flush();
    BOOST_REQUIRE((asked.get_future().wait_for(patience) == std::future_status::ready));
    const auto seen = upstream_clock.latest();
    BOOST_TEST((seen > hybrid_time{ahead.time_since_epoch().count(), 7}));

    server.send(session.get(), granted_message{{1, 2}});
    server.flush();
    BOOST_REQUIRE((answered.get_future().wait_for(patience) == std::future_status::ready));
    BOOST_TEST((entry_clock.latest() > seen));
    client.stop();
    server.stop();
}

BOOST_AUTO_TEST_SUITE_END()
