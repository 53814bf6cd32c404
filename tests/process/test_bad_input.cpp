#include "process/process_deployment.h"
#include "process/raw_connection.h"
#include "stand_ins/engine.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

constexpr std::size_t max_body = 65536;
const std::string good_body =
    R"({"model":"assistant","stream":true,"stand_in_tokens":3,"messages":[{"role":"user","content":"hi"}]})";
const std::string key = "Authorization: Bearer test-key\r\n";
const std::string closing = "Connection: close\r\n";
const std::string chat = "/v1/chat/completions";

struct engine_fixture {
    engine_fixture()
    {
        engine_stand_in_options options;
        options.slots = 256;
        options.token_interval = milliseconds(1);
        options.load_lag = milliseconds(5);
        engine = std::make_unique<engine_stand_in>(options);
        BOOST_REQUIRE(engine->start(0));
    }
    ~engine_fixture() { engine->stop(); }
    engine_fixture(const engine_fixture&) = delete;
    engine_fixture& operator=(const engine_fixture&) = delete;

    std::string url() const { return "http://127.0.0.1:" + std::to_string(engine->port()); }

    std::string load() const
    {
        raw_connection connection(engine->port());
        connection.send(request_text("GET", "/v1/load", "", closing));
        return connection.read_to_end();
    }

    std::unique_ptr<engine_stand_in> engine;
};

struct daemon_fixture : engine_fixture {
    process_deployment daemon{url(), max_body};

    std::string ask(const std::string& text) const
    {
        raw_connection caller(daemon.port());
        caller.send(text);
        return caller.read_to_end();
    }

    /// What a faulty request is answered, and that a good one is served after it.
    void expect(const std::string& text, int status, int code) const
    {
        const auto answer = ask(text);
        BOOST_TEST_CONTEXT(text.substr(0, 120) << " was answered " << answer)
        {
            BOOST_TEST(answer.starts_with("HTTP/1.1 " + std::to_string(status) + " "));
            BOOST_TEST(answer.find("\"code\":" + std::to_string(code) + ",") != std::string::npos);
            BOOST_TEST(answer.find("\"ran\":\"no\"") != std::string::npos);
        }
        const auto good = ask(request_text("POST", chat, good_body, key + closing));
        BOOST_TEST(good.find("[DONE]") != std::string::npos);
    }
};

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count_of(const std::string& text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(bad_input)

BOOST_FIXTURE_TEST_SUITE(each_fault_has_its_code_and_the_daemon_serves_on, daemon_fixture)

BOOST_AUTO_TEST_CASE(bodies)
{
    expect(request_text("POST", chat, "{\"model\":", key + closing), 400, 100);
    expect(request_text("POST", chat, "[1]", key + closing), 400, 100);
    expect(request_text("POST", chat, std::string(max_body - 1, '['), key + closing), 400, 100);
    expect(request_text("POST", chat, R"({"model":7,"messages":[]})", key + closing), 400, 100);
    expect(request_text("POST", chat, std::string(max_body + 1, 'x'), key + closing), 413, 101);
    expect(request_text("POST", chat, R"({"model":"nobody","prompt":""})", key + closing), 404, 103);
}

BOOST_AUTO_TEST_CASE(headers)
{
    expect(request_text("POST", chat, good_body, key + closing + "Clementinegap-Class: none\r\n"), 400, 102);
    expect(request_text("POST", chat, good_body, "Authorization: Bearer wrong\r\n" + closing), 401, 106);
    expect(request_text("POST", chat, good_body, closing), 401, 106);
    for (const std::string name : {"Clementinegap-Class", "Idempotency-Key", "Content-Type"}) {
        expect(request_text("POST", chat, good_body, key + closing + name + ": \xff\xfe\r\n"), 400, 109);
    }
    for (const std::string value : {"0", "-1", "1x", "99999999999999999999"}) {
        const auto header = "Clementinegap-Deadline-Ms: " + value + "\r\n";
        expect(request_text("POST", chat, good_body, key + closing + header), 400, 109);
    }
}

BOOST_AUTO_TEST_CASE(paths_and_methods)
{
    expect(request_text("POST", "/nothing", good_body, key + closing), 404, 107);
    expect(request_text("POST", "/services/", good_body, key + closing), 404, 107);
    for (const std::string path : {"/services/x/../../v1/orders", "/services/x/%2e%2E/v1/orders",
                                   "/services/x/\xff", "/services/x/.."}) {
        expect(request_text("POST", path, good_body, key + closing), 404, 107);
    }
    expect(request_text("POST", "/services/x%0d%0aX:%20y", good_body,
                        key + closing + "Clementinegap-Class: chat\r\n"),
           404, 103);
    expect(request_text("GET", chat, "", key + closing), 405, 110);
    expect(request_text("DELETE", "/v1/models", "", key + closing), 405, 110);
    expect(request_text("GET", "/v1/models", "", closing), 401, 106);
}

BOOST_AUTO_TEST_CASE(a_body_that_is_refused_before_it_is_sent)
{
    const auto expecting = key + closing + "Expect: 100-continue\r\nContent-Length: 70000\r\n";
    expect("POST " + chat + " HTTP/1.1\r\nHost: test\r\n" + expecting + "\r\n", 413, 101);
}

BOOST_AUTO_TEST_CASE(a_body_without_end_is_cut_off_with_an_answer)
{
    raw_connection caller(daemon.port());
    caller.send("POST " + chat + " HTTP/1.1\r\nHost: test\r\n" + key + "Transfer-Encoding: chunked\r\n\r\n");
    const auto chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    int sent = 0;
    while (sent < 100000 && caller.send(chunk)) {
        ++sent;
    }
    BOOST_TEST(sent < 100000);
    const auto answer = caller.read_to_end();
    BOOST_TEST(contains(answer, "413"));
    BOOST_TEST(contains(answer, "\"code\":101"));
}

BOOST_AUTO_TEST_CASE(the_model_list)
{
    const auto list = ask(request_text("GET", "/v1/models", "", key + closing));
    BOOST_TEST(list.starts_with("HTTP/1.1 200"));
    BOOST_TEST(contains(list, "\"id\":\"assistant\""));
    const auto head = ask(request_text("HEAD", "/v1/models", "", key + closing));
    BOOST_TEST(head.starts_with("HTTP/1.1 200"));
    BOOST_TEST(head.ends_with("\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(two_requests_in_one_piece_are_answered_in_order)
{
    raw_connection caller(daemon.port());
    caller.send(request_text("GET", "/v1/models", "", key) +
                request_text("POST", chat, good_body, key + closing));
    const auto both = caller.read_to_end();
    BOOST_TEST(both.find("\"assistant\"") < both.find("[DONE]"));
    BOOST_TEST(contains(both, "[DONE]"));
}

BOOST_AUTO_TEST_CASE(one_connection_serves_many_requests)
{
    raw_connection caller(daemon.port());
    for (int i = 0; i < 20; ++i) {
        caller.send(request_text("POST", chat, i % 2 == 0 ? good_body : "{", key));
        BOOST_TEST(contains(caller.read_until(i % 2 == 0 ? "[DONE]\n\n\r\n0\r\n\r\n" : "}}"),
                            i % 2 == 0 ? "200 OK" : "400 Bad"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(a_sender_that_stalls_is_told_so, engine_fixture)
{
    process_deployment daemon(url(), max_body, milliseconds(50));
    raw_connection caller(daemon.port());
    caller.send("POST " + chat + " HTTP/1.1\r\nHost: test\r\n" + key + "Content-Length: 100\r\n\r\n{");
    const auto answer = caller.read_to_end();
    BOOST_TEST(answer.starts_with("HTTP/1.1 408 "));
    BOOST_TEST(contains(answer, "\"code\":108"));
    BOOST_TEST(contains(answer, "\"ran\":\"no\""));
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_in_mid_stream_frees_the_engine, daemon_fixture)
{
    const std::string long_body =
        R"({"model":"assistant","stream":true,"stand_in_tokens":10000000,"messages":[{"role":"user","content":"hi"}]})";
    {
        raw_connection caller(daemon.port());
        caller.send(request_text("POST", chat, long_body));
        BOOST_TEST(contains(caller.read_until("data: "), "data: "));
        BOOST_TEST(daemon.busy_slots() == 1U);
    }
    BOOST_TEST(eventually([&] { return daemon.busy_slots() == 0 && daemon.open_requests() == 0; }));
    BOOST_TEST(eventually([&] { return contains(load(), "\"running\":0"); }));
}

BOOST_FIXTURE_TEST_CASE(half_of_many_callers_leave_and_the_others_get_their_whole_answers, daemon_fixture)
{
    constexpr int callers = 100;
    const std::string body =
        R"({"model":"assistant","stream":true,"stand_in_tokens":50,"messages":[{"role":"user","content":"hi"}]})";
    std::vector<raw_connection> open;
    open.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        open.emplace_back(daemon.port());
        open.back().send(request_text("POST", chat, body, key + closing));
    }
    for (int i = 0; i < callers; ++i) {
        if (i % 2 == 1) {
            const raw_connection leaving(std::move(open[static_cast<std::size_t>(i)]));
        }
    }
    for (int i = 0; i < callers; i += 2) {
        const auto answer = open[static_cast<std::size_t>(i)].read_to_end();
        BOOST_TEST(contains(answer, "[DONE]"));
        BOOST_TEST(count_of(answer, "data: {") == 50U);
    }
    BOOST_TEST(eventually([&] { return daemon.busy_slots() == 0 && daemon.open_requests() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
