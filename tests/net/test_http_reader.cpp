#include "net/http_reader.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace clementinegap;

namespace {

struct collected {
    http_head head;
    std::string body;
    int heads{0};
    int ends{0};
};

http_reader make_reader(http_reader::kind kind, collected& into)
{
    return {kind,
            {[&into](http_head& head) {
                 into.head = head;
                 ++into.heads;
                 return http_reader::body_rule::as_framed;
             },
             [&into](std::string_view bytes) { into.body.append(bytes); }, [&into] { ++into.ends; }}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_reader_of_responses)

BOOST_AUTO_TEST_CASE(stops_at_the_end_of_a_response_and_leaves_following_bytes)
{
    collected got;
    auto reader = make_reader(http_reader::kind::responses, got);
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500";
    const auto taken = reader.feed(bytes);
    BOOST_TEST(got.body == "ok");
    BOOST_TEST(got.ends == 1);
    BOOST_TEST(bytes.substr(taken) == "HTTP/1.1 500");
    BOOST_TEST((reader.status() == http_reader::state::complete));
}

BOOST_AUTO_TEST_CASE(completes_a_response_without_a_length_only_at_an_orderly_close)
{
    collected got;
    auto reader = make_reader(http_reader::kind::responses, got);
    reader.feed("HTTP/1.1 200 OK\r\n\r\nsome");
    BOOST_TEST((reader.status() == http_reader::state::reading));
    reader.feed_end();
    BOOST_TEST((reader.status() == http_reader::state::complete));
    BOOST_TEST(got.body == "some");
}

// Guards against passing on the answer of a faulty server whose status is no status.
BOOST_AUTO_TEST_CASE(reports_a_status_outside_the_valid_range_as_broken)
{
    for (const auto* status : {"000", "001", "099", "600", "999"}) {
        collected got;
        auto reader = make_reader(http_reader::kind::responses, got);
        reader.feed("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok");
        BOOST_TEST((reader.status() == http_reader::state::broken), status);
        BOOST_TEST(got.heads == 0);
    }
}

BOOST_AUTO_TEST_CASE(reports_a_truncated_response_as_broken)
{
    for (const auto* text : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n"}) {
        collected got;
        auto reader = make_reader(http_reader::kind::responses, got);
        reader.feed(text);
        reader.feed_end();
        BOOST_TEST((reader.status() == http_reader::state::broken));
        BOOST_TEST(got.ends == 0);
    }
}

BOOST_AUTO_TEST_CASE(skips_informational_responses)
{
    collected got;
    auto reader = make_reader(http_reader::kind::responses, got);
    reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(got.heads == 1);
    BOOST_TEST(got.head.status == 200);
    BOOST_TEST(got.ends == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_reader_of_requests)

BOOST_AUTO_TEST_CASE(rejects_conflicting_lengths)
{
    for (const auto* text :
         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\n"}) {
        collected got;
        auto reader = make_reader(http_reader::kind::requests, got);
        reader.feed(text);
        BOOST_TEST((reader.status() == http_reader::state::broken), text);
    }
}

BOOST_AUTO_TEST_CASE(reads_the_same_from_any_fragments)
{
    const std::string text = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\n\r\n"
                             "5\r\nhello\r\n3;x=y\r\n, w\r\n0\r\n\r\n";
    std::minstd_rand random(11);
    for (int round = 0; round < 200; ++round) {
        collected got;
        auto reader = make_reader(http_reader::kind::requests, got);
        std::size_t at = 0;
        while (at < text.size()) {
            const auto size = std::min<std::size_t>(1 + random() % 9, text.size() - at);
            reader.feed(std::string_view(text).substr(at, size));
            at += size;
        }
        BOOST_TEST(got.body == "hello, w");
        BOOST_TEST(got.head.target == "/a?b=c");
        BOOST_TEST(got.ends == 1);
    }
}

BOOST_AUTO_TEST_CASE(survives_random_bytes)
{
    std::minstd_rand random(12);
    for (int round = 0; round < 2000; ++round) {
        std::string text = "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
        for (int change = 0; change < 3; ++change) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        collected got;
        auto reader = make_reader(http_reader::kind::requests, got);
        reader.feed(text);
        BOOST_TEST(got.ends <= 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_head_check)

BOOST_AUTO_TEST_CASE(rejects_heads_that_parsers_could_read_differently)
{
    BOOST_TEST(head_fault("GET / HTTP/1.1\r\nHost: h\r\n\r\n").empty());
    BOOST_TEST(!head_fault("GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n").empty());
    BOOST_TEST(!head_fault("GET / HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n").empty());
    BOOST_TEST(!head_fault("GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\n").empty());
    BOOST_TEST(!head_fault(std::string("GET / HTTP/1.1\r\nX: a") + '\0' + "b\r\n\r\n").empty());
    BOOST_TEST(!head_fault("GET / HTTP/1.1\r\n: v\r\n\r\n").empty());
}

BOOST_AUTO_TEST_CASE(recognises_hop_by_hop_headers)
{
    BOOST_TEST(is_hop_by_hop("Transfer-Encoding", ""));
    BOOST_TEST(is_hop_by_hop("X-Once", "close, x-once"));
    BOOST_TEST(!is_hop_by_hop("X-Other", "close, x-once"));
}

BOOST_AUTO_TEST_SUITE_END()
