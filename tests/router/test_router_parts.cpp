#include "observability/bounded_output.h"
#include "router/entry_settings.h"
#include "router/event_splitter.h"
#include "router/report_codec.h"
#include "router/stream_message_codec.h"
#include "routing/prompt_part_quarantine.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <random>
#include <set>
#include <unistd.h>

using namespace clementinegap;

BOOST_AUTO_TEST_SUITE(an_event_splitter)

BOOST_AUTO_TEST_CASE(returns_complete_events_from_arbitrary_fragments)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\nda";
    std::minstd_rand random(3);
    for (int round = 0; round < 200; ++round) {
        event_splitter splitter;
        std::string whole;
        std::size_t at = 0;
        while (at < text.size()) {
            const auto size = std::min<std::size_t>(1 + random() % 7, text.size() - at);
            whole += splitter.feed(std::string_view(text).substr(at, size));
            at += size;
        }
        BOOST_TEST(whole == text.substr(0, text.rfind("id: 4")));
        BOOST_TEST(splitter.last_id() == "3");
        BOOST_TEST(splitter.has_partial());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(reports_between_daemons)

BOOST_AUTO_TEST_CASE(survive_a_round_trip_and_damaged_bytes)
{
    load_report report{"d",
                       3,
                       4,
                       5,
                       {{"u", {1, 2, 3}}},
                       {{milliseconds(80), 0.5, 0, 0}},
                       {{"u", 77, 300, milliseconds(250)}},
                       seconds(2)};
    report.speeds = {{"s", {56.5, milliseconds(4), 200}}};
    report.prompt_parts.crashes = {
        {"u", 12, milliseconds(300), {{milliseconds(20), {1, 0xfedcba9876543210}}}}};
    report.prompt_parts.quarantined = {{7, seconds(3), {7, 8}}};
    report.prompt_parts.sound = {{9, seconds(1)}};
    report.relay = {7, 20, true, 40, 2, milliseconds(300), std::nullopt};
    report.outcomes = {{"p", 1764979200000, 3.5, 8}};
    soft_state_item item;
    item.kind = "poison";
    item.key = "k";
    item.value = "2";
    item.lifetime = seconds(60);
    const std::vector<soft_state_item> items{item};
    const auto bytes = encode_report(report, items);
    const auto back = decode_report(bytes);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(back.value().report.sequence == 4U);
    BOOST_TEST((back.value().report.loads == report.loads));
    BOOST_TEST((back.value().report.placements == report.placements));
    BOOST_TEST((back.value().report.speeds == report.speeds));
    BOOST_TEST((back.value().report.next_in == seconds(2)));
    BOOST_TEST((back.value().report.prompt_parts == report.prompt_parts));
    BOOST_TEST((back.value().report.relay == report.relay));
    BOOST_TEST((back.value().report.outcomes == report.outcomes));
    BOOST_TEST(back.value().items.front().key == "k");
    std::minstd_rand random(9);
    for (int round = 0; round < 5000; ++round) {
        auto damaged = bytes;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        (void)decode_report(damaged);
        BOOST_TEST(!decode_report(bytes.substr(0, random() % bytes.size())).has_value());
    }
}

BOOST_AUTO_TEST_CASE(fit_into_datagrams_however_many_requests_were_lost)
{
    constexpr std::size_t max_datagram_bytes = 65507; // Of UDP over IPv4.
    constexpr int crashed_upstreams = 64;
    constexpr int lost_each = 128;
    prompt_part_quarantine quarantine;
    const time_point now{seconds(100)};
    std::uint64_t session = 1ULL << 60;
    for (int crashed = 0; crashed < crashed_upstreams; ++crashed) {
        upstream_record upstream;
        upstream.id = "upstream-" + std::to_string(crashed);
        for (int lost = 0; lost < lost_each; ++lost) {
            prompt_info prompt;
            prompt.parts = {{1, 500}, {++session, 500}, {2, 200}};
            quarantine.send_lost(upstream, prompt, now - milliseconds(200), std::nullopt, now);
        }
        quarantine.process_ended(upstream, now);
    }
    std::set<std::uint64_t> reported;
    for (int count = 0; count < 100; ++count) {
        load_report report;
        report.prompt_parts = quarantine.next_statements(now);
        BOOST_TEST(encode_report(report, {}).size() < max_datagram_bytes);
        for (const auto& crash : report.prompt_parts.crashes) {
            for (const auto& suspect : crash.suspects) {
                reported.insert(suspect.parts.begin(), suspect.parts.end());
            }
        }
    }
    BOOST_TEST(reported.size() == crashed_upstreams * lost_each + 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stream_messages_between_daemons)

BOOST_AUTO_TEST_CASE(survive_a_round_trip_and_damaged_bytes)
{
    const stream_key stream = 0xfedcba9876543210;
    const std::vector<stream_message> messages = {
        origin_copy{stream, {"s", "v1"}}, origin_question{stream, "s"},
        origin_answer{stream, stream_origin{"s", ""}, {"v1", "v2"}, true},
        origin_answer{stream, std::nullopt, {}, false}};
    std::minstd_rand random(5);
    for (const auto& message : messages) {
        const auto bytes = encode_stream_message("entry-1", message);
        const auto back = decode_stream_message(bytes);
        BOOST_REQUIRE(back.has_value());
        BOOST_TEST(back.value().daemon == "entry-1");
        BOOST_TEST((back.value().message == message));
        for (int round = 0; round < 3000; ++round) {
            auto damaged = bytes;
            damaged[random() % damaged.size()] = static_cast<char>(random());
            (void)decode_stream_message(damaged);
            BOOST_TEST(!decode_stream_message(bytes.substr(0, random() % bytes.size())).has_value());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings_of_an_entry)

BOOST_AUTO_TEST_CASE(are_checked_as_a_whole)
{
    const std::string good = R"({ // comment
        "vm": "front-1", "zone": "z", "caller_address": "10.0.0.1:80", "readiness_address": "10.0.0.1:81",
        "peer_address": "10.0.0.1:82", "store_address": "10.0.0.2:83", "retry_slack": 56})";
    BOOST_REQUIRE(entry_settings_from_text(good).has_value());
    BOOST_TEST(entry_settings_from_text(good).value().store_address.port == 83);
    const auto with_speed = entry_settings_from_text(
        good.substr(0, good.size() - 1) + R"(, "engine_prompt_tokens_per_ms": 90, "engine_token_ms": 4})");
    BOOST_REQUIRE(with_speed.has_value());
    BOOST_TEST(with_speed.value().assumed_speed.prompt_tokens_per_ms == 90);
    BOOST_TEST((with_speed.value().assumed_speed.token == milliseconds(4)));
    const auto bad = entry_settings_from_text(
        R"({"vm": 1, "caller_address": "nowhere", "retry_ratio": 7, "store_adress": "10.0.0.2:83"})");
    BOOST_REQUIRE(!bad.has_value());
    std::minstd_rand random(4);
    for (int round = 0; round < 3000; ++round) {
        auto damaged = good;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        (void)entry_settings_from_text(damaged);
        (void)entry_settings_from_text(good.substr(0, random() % good.size()));
    }
    for (const auto* word : {"vm", "zone", "caller_address", "retry_ratio", "store_adress"}) {
        BOOST_TEST(bad.error().message.find(word) != std::string::npos, word);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_bounded_output)

BOOST_AUTO_TEST_CASE(never_blocks_and_counts_what_it_drops)
{
    int ends[2] = {-1, -1};
    BOOST_REQUIRE(pipe(ends) == 0);
    bounded_output output(ends[1], 1000, 100000, [](std::uint64_t lines, std::int64_t) {
        return "log.dropped " + std::to_string(lines) + "\n";
    });
    const std::string line(99, 'x');
    for (int i = 0; i < 5000; ++i) {
        output.append(line + "\n");
        output.flush(std::int64_t{10000} * i + 1);
    }
    BOOST_TEST(output.dropped() > 0U);
    char buffer[65536];
    (void)read(ends[0], buffer, sizeof buffer);
    output.flush(std::int64_t{5001} * 10000);
    output.append(line + "\n");
    output.flush(std::int64_t{5002} * 10000);
    std::string rest(65536, '\0');
    const auto got = read(ends[0], rest.data(), rest.size());
    rest.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    BOOST_TEST(rest.find("log.dropped") != std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()
