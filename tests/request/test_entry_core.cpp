#include "request/entry_core.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

BOOST_AUTO_TEST_SUITE(an_entry_core)

BOOST_AUTO_TEST_CASE(refuses_everything_before_it_has_a_configuration)
{
    entry_core core(entry_settings{});
    caller_request request;
    request.caller = 7;
    const auto actions = core.on_event(request, time_point(seconds(1)));
    BOOST_REQUIRE(actions.size() == 2U);
    const auto* answer = std::get_if<answer_whole>(&actions[0]);
    BOOST_REQUIRE(answer != nullptr);
    BOOST_TEST(answer->caller == 7U);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->body.find("\"ran\":\"no\"") != std::string::npos);
    const auto* recorded = std::get_if<emit_record>(&actions[1]);
    BOOST_REQUIRE(recorded != nullptr);
    BOOST_TEST(recorded->record.kind == "request.refused_at_admission");
    BOOST_TEST(recorded->record.detail == "not_ready");
}

BOOST_AUTO_TEST_SUITE_END()
