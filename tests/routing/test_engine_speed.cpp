#include "routing/engine_speed.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <random>

using namespace clementinegap;

namespace {

/// Generates streams of engines with these actual speeds, some of them delayed.
class engines_of {
public:
    engines_of(double tokens_per_ms, duration token) : tokens_per_ms_(tokens_per_ms), token_(token) {}

    stream_sample stream()
    {
        stream_sample sample;
        sample.tokens_read = std::uniform_int_distribution<std::uint64_t>(200, 20000)(random_);
        const double reading_ms = static_cast<double>(sample.tokens_read) / tokens_per_ms_;
        const bool held_up = std::bernoulli_distribution(0.1)(random_);
        sample.first_event_after = milliseconds(15 + static_cast<int>(reading_ms * (held_up ? 6 : 1)));
        sample.output_tokens = std::uniform_int_distribution<std::uint32_t>(1, 200)(random_);
        const double error = std::lognormal_distribution<double>(0, 0.5)(random_);
        sample.streamed_for = duration(
            static_cast<duration::rep>(static_cast<double>((token_ * sample.output_tokens).count()) * error));
        return sample;
    }

private:
    double tokens_per_ms_;
    duration token_;
    std::mt19937 random_{7};
};

void play(engine_speed_estimate& estimate, engines_of& engines, int streams)
{
    for (int i = 0; i < streams; ++i) {
        estimate.stream_ended(engines.stream());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_speed_of_engines)

BOOST_AUTO_TEST_CASE(is_assumed_until_there_are_samples)
{
    const engine_speed_estimate estimate(engine_speed{25, milliseconds(12)});
    BOOST_TEST(estimate.value().prompt_tokens_per_ms == 25.0, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(estimate.value().samples == 0U);
    BOOST_TEST((estimate.value().token == milliseconds(12)));
}

BOOST_AUTO_TEST_CASE(is_estimated_for_slow_and_fast_engines)
{
    for (const double actual_rate : {8.0, 30.0, 57.0, 200.0}) {
        BOOST_TEST_CONTEXT("tokens per millisecond " << actual_rate)
        {
            engine_speed_estimate estimate;
            engines_of engines(actual_rate, milliseconds(9));
            play(estimate, engines, 300);
            // One stream in ten runs on a busy engine, so the estimate is below the speed of an idle one.
            BOOST_TEST(estimate.value().prompt_tokens_per_ms > actual_rate * 0.6);
            BOOST_TEST(estimate.value().prompt_tokens_per_ms < actual_rate * 1.3);
            BOOST_TEST((estimate.value().token > milliseconds(6)));
            BOOST_TEST((estimate.value().token < milliseconds(13)));
        }
    }
}

BOOST_AUTO_TEST_CASE(follows_a_release_with_other_engines)
{
    engine_speed_estimate estimate;
    engines_of before(60, milliseconds(5));
    play(estimate, before, 1000);
    engines_of after(20, milliseconds(15));
    play(estimate, after, 600);
    BOOST_TEST(estimate.value().prompt_tokens_per_ms < 30);
    BOOST_TEST((estimate.value().token > milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(is_taken_from_other_daemons_after_a_start)
{
    engine_speed_estimate veteran;
    engines_of engines(90, milliseconds(4));
    play(veteran, engines, 500);
    engine_speed_estimate started;
    started.merge_remote(veteran.value());
    BOOST_TEST(started.value().prompt_tokens_per_ms == veteran.value().prompt_tokens_per_ms,
               boost::test_tools::tolerance(0.01));
    BOOST_TEST((started.value().token == veteran.value().token));
    BOOST_TEST_CONTEXT("but not from a daemon without samples")
    {
        engine_speed_estimate other(engine_speed{10, milliseconds(30)});
        engine_speed_estimate fresh;
        fresh.merge_remote(other.value());
        BOOST_TEST(fresh.value().prompt_tokens_per_ms == engine_speed{}.prompt_tokens_per_ms,
                   boost::test_tools::tolerance(1e-6));
    }
}

BOOST_AUTO_TEST_CASE(is_not_taken_from_a_damaged_report)
{
    engine_speed_estimate estimate;
    const auto before = estimate.value();
    estimate.merge_remote({std::numeric_limits<double>::quiet_NaN(), milliseconds(8), 1000});
    estimate.merge_remote({1e9, milliseconds(8), 1000});
    estimate.merge_remote({-3, milliseconds(8), 1000});
    estimate.merge_remote({40, milliseconds(-8), 1000});
    estimate.merge_remote({40, seconds(1000), 1000});
    BOOST_TEST((estimate.value() == before));
}

BOOST_AUTO_TEST_CASE(stays_within_bounds_for_implausible_samples)
{
    engine_speed_estimate estimate;
    for (int i = 0; i < 2000; ++i) {
        estimate.stream_ended({20000, duration(0), duration(0), 100});
        BOOST_REQUIRE(estimate.value().prompt_tokens_per_ms <= 1000);
        BOOST_REQUIRE(estimate.value().prompt_tokens_per_ms >= 1);
    }
    for (int i = 0; i < 2000; ++i) {
        estimate.stream_ended({0, seconds(100), seconds(1000), 1});
        BOOST_REQUIRE(estimate.value().prompt_tokens_per_ms >= 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
