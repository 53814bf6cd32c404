#include "net/tcp_connection.h"
#include "observability/bounded_output.h"
#include "router/entry_settings.h"
#include "router/event_splitter.h"
#include "router/peer_link.h"
#include "router/report_codec.h"
#include "router/stream_message_codec.h"
#include "routing/prompt_part_quarantine.h"

#include <boost/test/unit_test.hpp>

#include <ctime>
#include <fcntl.h>
#include <random>
#include <regex>
#include <set>
#include <unistd.h>
#include <uv.h>

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

// Guards against a search of the whole incomplete event for each piece, which stopped the process for
// seconds.
BOOST_AUTO_TEST_CASE(takes_little_time_for_an_endless_event_in_small_pieces)
{
    constexpr std::size_t event_bytes = std::size_t{1} << 20U;
    // Requests beside it must not be held for longer than this after their timeout.
    constexpr double longest_seconds = 0.5;
    for (const std::size_t piece_bytes : {1, 12, 45, 200}) {
        BOOST_TEST_CONTEXT(piece_bytes << " bytes a piece")
        {
            event_splitter splitter;
            const std::string piece(piece_bytes, 'a');
            const auto begin = std::clock();
            while (splitter.partial_bytes() < event_bytes) {
                splitter.feed(piece);
            }
            BOOST_TEST(static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC < longest_seconds);
        }
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
    report.memory_uses = {{"u", 3170}};
    report.prompt_parts.crashes = {
        {"u", 12, milliseconds(300), {{milliseconds(20), {1, 0xfedcba9876543210}}}}};
    report.prompt_parts.quarantined = {{7, seconds(3), {7, 8}}};
    report.prompt_parts.sound = {{9, seconds(1)}};
    report.relay = {7, 20, true, 40, 2, milliseconds(300), std::nullopt};
    report.outcomes = {{"p", 1764979200000, 3.5, 8}};
    soft_state_item item;
    item.kind = "poison";
    report.usage = usage_statement{1767225600123,
                                   {{353445120, {{"a", 4}, {"b", 1}}}, {353445121, {{"b", 70000}}}},
                                   {"entry-2", 1767225600000, 77, 353445119}};
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
    BOOST_TEST((back.value().report.memory_uses == report.memory_uses));
    BOOST_TEST((back.value().report.speeds == report.speeds));
    BOOST_TEST((back.value().report.next_in == seconds(2)));
    BOOST_TEST((back.value().report.prompt_parts == report.prompt_parts));
    BOOST_TEST((back.value().report.relay == report.relay));
    BOOST_TEST((back.value().report.usage == report.usage));
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

// Counts of too many workspaces must not cost the daemons the loads of each other.
BOOST_AUTO_TEST_CASE(go_on_without_usage_counts_where_these_exceed_a_datagram)
{
    constexpr int too_many_workspaces = 8000;
    event_loop loop;
    std::vector<load_report> received;
    std::string warning;
    const auto ignore = [](const auto&) {};
    peer_link receiver(
        loop, 1, [&](const load_reported& each) { received.push_back(each.report); }, ignore, ignore);
    peer_link sender(loop, 1, ignore, ignore, [&](const std::string& why) { warning = why; });
    tcp_listener reserved(loop, [](uv_stream_t*) {}); // Its port is most likely free for datagrams too.
    BOOST_REQUIRE(reserved.listen("127.0.0.1", 0));
    const endpoint address{"127.0.0.1", reserved.port()};
    BOOST_REQUIRE(receiver.bind(address));
    BOOST_REQUIRE(sender.bind({"127.0.0.1", 0}));
    sender.set_peers({{"receiver", address}});
    load_report report;
    report.daemon = "sender";
    report.usage.emplace().windows = {{1, {}}};
    for (int index = 0; index < too_many_workspaces; ++index) {
        report.usage->windows.front().counts["workspace-" + std::to_string(index)] = 1;
    }
    sender.send(report);
    const auto end = event_loop::now() + seconds(10);
    loop.wake_at(end, [] {});
    while (received.empty() && event_loop::now() < end) {
        uv_run(loop.native(), UV_RUN_ONCE);
    }
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST(!received.front().usage.has_value());
    BOOST_TEST(!warning.empty());
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

BOOST_AUTO_TEST_CASE(run_the_duties_only_where_all_settings_of_duties_are_there)
{
    const std::vector<std::pair<std::string, std::string>> duty_lines = {
        {"platform_service_address", R"("10.0.0.3:84")"},
        {"duties", R"(["usage","another"])"},
        {"usage_window_s", "5"},
        {"usage_late_s", "10"},
        {"duty_lease_ms", "3000"},
        {"duty_calls_per_s", "2"}};
    const auto text_without = [&](const std::string& left_out) {
        std::string text = R"({"vm": "front-1", "zone": "z", "caller_address": "10.0.0.1:80",
            "readiness_address": "10.0.0.1:81", "peer_address": "10.0.0.1:82", "store_address": "10.0.0.2:83")";
        for (const auto& [name, value] : duty_lines) {
            text += name == left_out ? "" : ", \"" + name + "\": " + value;
        }
        return text + "}";
    };
    const auto whole = entry_settings_from_text(text_without(""));
    BOOST_REQUIRE(whole.has_value());
    BOOST_REQUIRE(whole.value().duties.has_value());
    BOOST_TEST(whole.value().duties->names.size() == 2U);
    BOOST_TEST((whole.value().duties->usage_window == seconds(5)));
    BOOST_TEST((whole.value().duties->lease_term == seconds(3)));
    for (const auto& [name, value] : duty_lines) {
        const auto partial = entry_settings_from_text(text_without(name));
        BOOST_REQUIRE(partial.has_value());
        BOOST_TEST(!partial.value().duties.has_value(), name);
    }
}

// A comma that is missing or left over in the template would keep every entry of a deployment from starting.
BOOST_AUTO_TEST_CASE(are_rendered_from_the_template_with_and_without_a_platform_service)
{
    const auto original = settings_file_text(CG_SOURCE_DIR "/deploy/entry.settings.jsonc");
    BOOST_REQUIRE(original.has_value());
    // The platform renders a section of a table once for each entry of the table, so a section has to name a
    // single value.
    BOOST_TEST(!std::regex_search(original.value(), std::regex(R"(\{\{#[a-z_]+\}\})")));
    const std::regex section(
        R"(\{\{#cloud\.address\}\}\{\{#bounds\.report_window_s\}\}([^]*)\{\{/bounds\.report_window_s\}\}\{\{/cloud\.address\}\})");
    for (const bool has_service : {true, false}) {
        auto text = std::regex_replace(original.value(), section, has_service ? "$1" : "");
        text = std::regex_replace(text, std::regex(R"(\{\{cloud\.duties\|json\}\})"), R"(["usage"])");
        text =
            std::regex_replace(text, std::regex(R"("\{\{ip\}\}:\{\{port_range.0\}\}")"), R"("10.0.0.1:1")");
        text =
            std::regex_replace(text, std::regex(R"x((_address": )"\{\{[a-z_.]+\}\}")x"), R"($1"10.0.0.1:1")");
        text = std::regex_replace(text, std::regex(R"(: \{\{[a-z_.]*ratio\}\})"), ": 0.2");
        text = std::regex_replace(text, std::regex(R"(\{\{[a-z_.]+\}\})"), "1000");
        const auto settings = entry_settings_from_text(text);
        BOOST_REQUIRE_MESSAGE(settings.has_value(), text << (settings ? "" : settings.error().message));
        BOOST_TEST(settings.value().duties.has_value() == has_service);
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
