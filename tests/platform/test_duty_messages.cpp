#include "core/base64.h"
#include "platform/duty_messages.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace clementinegap;
using nlohmann::json;

namespace {

duty_event decoded(int status, const std::string& body)
{
    http_head head;
    head.status = status;
    head.headers = {{"Store-Era", "5"}};
    return decode_duty_row_result(3, head, body);
}

json body_of(const std::string& request)
{
    return json::parse(request.substr(request.find("\r\n\r\n") + 4));
}

} // namespace

BOOST_AUTO_TEST_SUITE(messages_of_the_usage_duty)

BOOST_AUTO_TEST_CASE(write_the_row_only_if_it_has_the_expected_version)
{
    const auto request = encode_duty_row_write({1, 42, "row"}, "10.0.0.2:83");
    BOOST_TEST(request.starts_with("POST /clementinegap/rows-tx HTTP/1.1\r\nHost: 10.0.0.2:83\r\n"));
    const auto expected = R"({"expected":[{"table":"duties","part":"","key":"usage","ver":42}],
        "set_keys":[{"table":"duties","part":"","key":"usage","value":")" +
                          base64_encode("row") + R"("}],"remove":[]})";
    BOOST_TEST(body_of(request) == json::parse(expected));
}

BOOST_AUTO_TEST_CASE(tell_a_write_from_a_conflict_and_both_from_an_unknown_result)
{
    const auto written = decoded(200, R"({"ver":43,"now_ms":1})");
    BOOST_REQUIRE(std::holds_alternative<row_written>(written));
    BOOST_TEST(std::get<row_written>(written).version == 43U);
    BOOST_TEST(std::get<row_written>(written).era == 5U);
    const auto conflict =
        decoded(412, R"({"rows":[{"table":"duties","part":"","key":"usage","ver":50,"value":")" +
                         base64_encode("new") + R"("}]})");
    BOOST_REQUIRE(std::holds_alternative<row_conflict>(conflict));
    BOOST_TEST(std::get<row_conflict>(conflict).step == 3U);
    BOOST_TEST(std::get<row_conflict>(conflict).version == 50U);
    BOOST_TEST(std::get<row_conflict>(conflict).value == "new");
    BOOST_TEST(std::get<row_conflict>(conflict).era == 5U);
    const auto absent = decoded(412, R"({"rows":[]})");
    BOOST_REQUIRE(std::holds_alternative<row_conflict>(absent));
    BOOST_TEST(std::get<row_conflict>(absent).version == 0U);
    // A result that is taken for certain without being so would let two daemons hold the duty.
    for (const auto& [status, body] :
         {std::pair(0, ""), std::pair(503, "{}"), std::pair(429, "{}"), std::pair(500, R"({"ver":1})"),
          std::pair(200, "{}"), std::pair(200, "torn"), std::pair(412, R"({"rows":[{"key":)")}) {
        const auto result = decoded(status, body);
        BOOST_TEST(std::holds_alternative<row_unknown>(result), status << " " << body);
    }
}

BOOST_AUTO_TEST_CASE(report_the_counts_of_a_window_with_holder_and_token)
{
    send_usage call;
    call.holder = "vm-1";
    call.token = 1767225600123;
    call.report = {353445120, {{"a", 412}, {"b", 7}}};
    const auto request = encode_usage_call(call, "10.0.0.3:84");
    BOOST_TEST(request.starts_with("POST /usage HTTP/1.1\r\nHost: 10.0.0.3:84\r\n"));
    for (const auto* line : {"\r\nX-Duty-Holder: vm-1\r\n", "\r\nX-Fencing-Token: 1767225600123\r\n",
                             "\r\nContent-Type: application/json\r\n"}) {
        BOOST_TEST(request.find(line) != std::string::npos, line);
    }
    BOOST_TEST(body_of(request) == json::parse(R"({"window_id":353445120,"counts":{"a":412,"b":7}})"));
    call.report.counts.clear();
    BOOST_TEST(body_of(encode_usage_call(call, "h"))["counts"].is_object());
}

BOOST_AUTO_TEST_SUITE_END()
