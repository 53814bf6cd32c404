#include "net/delivery_monitor.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

constexpr duration interval = milliseconds(500);

/// The time after which a peer counts as lost; zero if it does not within a minute.
template <class next_state> duration time_until_lost(next_state next)
{
    delivery_monitor monitor;
    for (duration time{0}; time < minutes(1); time += interval) {
        if (monitor.observe(next(time), interval)) {
            return time;
        }
    }
    return duration::zero();
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_delivery_monitor)

// Guards against a limit on the time until a whole segment fits the window, which cut off slow readers.
BOOST_AUTO_TEST_CASE(keeps_a_peer_that_takes_few_bytes_now_and_then)
{
    const auto lost_after = time_until_lost([](duration time) {
        const auto taken = static_cast<std::uint64_t>(time / seconds(8));
        return delivery_state{100 + taken, 50000 - taken, time % seconds(3) == duration::zero()};
    });
    BOOST_TEST((lost_after == duration::zero()));
}

BOOST_AUTO_TEST_CASE(gives_up_a_peer_that_answers_nothing_within_seconds)
{
    const auto lost_after = time_until_lost([](duration time) {
        return time < seconds(5)
                   ? delivery_state{static_cast<std::uint64_t>(to_milliseconds(time)), 100, false}
                   : delivery_state{5000, 100, true};
    });
    BOOST_TEST((lost_after >= seconds(7)));
    BOOST_TEST((lost_after <= seconds(9)));
}

BOOST_AUTO_TEST_CASE(gives_up_a_peer_that_answers_probes_and_takes_nothing)
{
    const auto lost_after = time_until_lost([](duration) { return delivery_state{100, 100, false}; });
    BOOST_TEST((lost_after >= delivery_monitor::stall_limit));
    BOOST_TEST((lost_after <= delivery_monitor::stall_limit + seconds(1)));
}

BOOST_AUTO_TEST_CASE(does_not_count_time_in_which_nothing_was_outstanding)
{
    const auto lost_after = time_until_lost([](duration time) {
        return delivery_state{100, time % seconds(4) == duration::zero() ? 0U : 10U, true};
    });
    BOOST_TEST((lost_after == duration::zero() || lost_after >= seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
