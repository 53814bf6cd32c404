#include "adapters/caller_gateway.h"
#include "adapters/event_stream_scanner.h"
#include "adapters/peer_codec.h"
#include "adapters/run_record_codec.h"
#include "config/questionnaire.h"
#include "fuzz/mutator.h"
#include "main/settings.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace clementinegap;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int rounds = 5000;

std::string example_questionnaire()
{
    return read_file(std::string(CG_SOURCE_DIR) + "/examples/lanyu.questionnaire.json").value();
}

configuration example_configuration()
{
    return generate_configuration({questionnaire_from_text(example_questionnaire()).value()}).value();
}

/// Feeds mutated inputs to a parser; `try_one` says whether the input was accepted. Both verdicts must occur,
/// or the inputs test nothing.
void fuzz(const std::vector<std::string>& corpus, const std::function<bool(const std::string&)>& try_one)
{
    for (const auto& good : corpus) {
        BOOST_TEST(try_one(good));
    }
    mutator inputs(seed);
    int accepted = 0;
    for (int i = 0; i < rounds; ++i) {
        accepted += try_one(inputs.next(corpus)) ? 1 : 0;
    }
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted < rounds);
}

upstream_message chunk_example()
{
    return chunk_message{{1, 2}, 3, std::string("bytes\0more", 10), 4};
}

template <class Wire, class Message> std::string wire_text(const Message& message)
{
    Wire encoded;
    encode(message, encoded);
    return encoded.SerializeAsString();
}

/// Whether the bytes are a message; a message that is understood means the same after another journey.
template <class Wire> bool survives_the_codec(const std::string& bytes)
{
    Wire first;
    if (!first.ParseFromString(bytes)) {
        return false;
    }
    const auto message = decode(first);
    if (!message) {
        return false;
    }
    Wire second;
    encode(*message, second);
    const auto again = decode(second);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST((*again == *message));
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_parser_of_mutated_input)

BOOST_AUTO_TEST_CASE(settings_are_accepted_or_refused_with_every_fault)
{
    const std::string entry = R"({"role": "entry", "vm": "entry-1", "zone": "zone-1", "region": "central",
        "admin": {"port": 9000}, "platform": {"url": "http://127.0.0.1:1", "poll_ms": 200},
        "peers": {"plain_text": true}, // comment
        "callers": {"port": 8000}})";
    const std::string upstream = R"({"role": "upstream", "vm": "u", "zone": "z", "region": "r",
        "admin": {"port": 9000}, "platform": {"url": "http://127.0.0.1:1"},
        "peers": {"address": "127.0.0.1:7000", "plain_text": true},
        "upstream": {"url": "http://127.0.0.1:1", "models": ["assistant"], "slots": 4}})";
    fuzz({entry, upstream}, [](const std::string& text) {
        const auto result = settings_from_text(text);
        BOOST_TEST((result.has_value() || !result.error().message.empty()));
        return result.has_value();
    });
}

BOOST_AUTO_TEST_CASE(a_questionnaire_that_is_accepted_gives_the_same_configuration_each_time)
{
    fuzz({example_questionnaire()}, [](const std::string& text) {
        const auto first = questionnaire_from_text(text);
        if (!first) {
            BOOST_TEST(!first.error().message.empty());
            return false;
        }
        const auto generated = generate_configuration({first.value()});
        const auto again = generate_configuration({questionnaire_from_text(text).value()});
        BOOST_REQUIRE(generated.has_value() == again.has_value());
        BOOST_TEST((!generated || generated.value() == again.value()));
        return true;
    });
}

BOOST_AUTO_TEST_CASE(a_configuration_that_is_accepted_keeps_its_meaning_when_written_and_read)
{
    fuzz({to_json(example_configuration()).dump(1)}, [](const std::string& text) {
        const auto first = configuration_from_json(text);
        if (!first) {
            BOOST_TEST(!first.error().message.empty());
            return false;
        }
        const auto again = configuration_from_json(to_json(first.value()).dump());
        BOOST_REQUIRE(again.has_value());
        BOOST_TEST((again.value() == first.value()));
        return true;
    });
}

BOOST_AUTO_TEST_CASE(an_event_stream_is_counted_alike_however_it_is_cut_into_pieces)
{
    const std::string stream =
        "data: {\"a\":1}\n\nevent: x\r\ndata: two\r\n\r\n: comment\n\ndata: [DONE]\n\n";
    mutator cuts(seed + 1);
    fuzz({stream}, [&](const std::string& text) {
        event_stream_scanner whole;
        const auto count = whole.feed(text);
        event_stream_scanner pieces;
        std::uint32_t counted = 0;
        for (std::size_t at = 0; at < text.size();) {
            const auto length = 1 + cuts.below(text.size() - at);
            counted += pieces.feed(std::string_view(text).substr(at, length));
            at += length;
        }
        BOOST_TEST(counted == count);
        BOOST_TEST(pieces.end_mark_seen() == whole.end_mark_seen());
        return whole.end_mark_seen();
    });
}

BOOST_AUTO_TEST_CASE(a_run_record_that_is_accepted_keeps_its_meaning_when_written_and_read)
{
    run_record record;
    record.workspace = "shop";
    record.key = "order-1";
    record.fingerprint = "f";
    record.attempt = {1, 2};
    record.upstream = "upstream-1";
    record.phase = run_phase::finished;
    record.answer = stored_response{200, "application/json", "{}"};
    fuzz({run_record_to_text(record)}, [](const std::string& text) {
        const auto first = run_record_from_text(text);
        if (first) {
            const auto again = run_record_from_text(run_record_to_text(*first));
            BOOST_REQUIRE(again.has_value());
            BOOST_TEST((*again == *first));
        }
        return first.has_value();
    });
}

BOOST_AUTO_TEST_CASE(peer_messages_that_are_understood_keep_their_meaning)
{
    reserve_message reserve;
    reserve.attempt = {1, 2};
    reserve.workspace = "shop";
    reserve.key = "not UTF-8: \xff\xfe";
    reserve.prefix_hashes = {1, 2, 3};
    dispatch_message dispatch;
    dispatch.attempt = {1, 2};
    dispatch.body = "{}";
    fuzz({wire_text<wire::entry_message>(entry_message(reserve)),
          wire_text<wire::entry_message>(entry_message(dispatch)),
          wire_text<wire::entry_message>(entry_message(credit_message{{1, 2}, 3}))},
         survives_the_codec<wire::entry_message>);
    hello_message hello;
    hello.zone = "zone-1";
    hello.models = {"assistant"};
    fuzz({wire_text<wire::upstream_message>(upstream_message(hello)),
          wire_text<wire::upstream_message>(chunk_example())},
         survives_the_codec<wire::upstream_message>);
}

BOOST_AUTO_TEST_CASE(a_callers_body_is_usable_or_malformed)
{
    const std::string body =
        R"({"model":"assistant","stream":true,"messages":[{"role":"user","content":"Which needle?"}]})";
    fuzz({body}, [](const std::string& text) {
        http_request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.body = text;
        const auto parsed = parse_caller_request(std::move(request));
        BOOST_TEST(parsed.body == text);
        return !parsed.malformed;
    });
}

BOOST_AUTO_TEST_SUITE_END()
