#include "request/entry_core.h"

#include "config/configuration_builder.h"
#include "core/digest.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace clementinegap;

BOOST_AUTO_TEST_SUITE(an_entry_core)

BOOST_AUTO_TEST_CASE(refuses_everything_before_it_has_a_configuration)
{
    entry_core core(entry_core_settings{});
    caller_request request;
    request.caller = 7;
    const auto actions = core.on_event(request, time_point(seconds(1)));
    BOOST_REQUIRE(actions.size() == 2U);
    const auto* answer = std::get_if<full_response>(&actions[0]);
    BOOST_REQUIRE(answer != nullptr);
    BOOST_TEST(answer->caller == 7U);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->body.find("\"ran\":\"no\"") != std::string::npos);
    const auto* recorded = std::get_if<emit_record>(&actions[1]);
    BOOST_REQUIRE(recorded != nullptr);
    BOOST_TEST(recorded->record.kind == "request.refused_at_admission");
    BOOST_TEST(recorded->record.detail == "not_ready");
}

BOOST_AUTO_TEST_CASE(makes_no_reservation_at_an_upstream_that_the_cluster_reports_as_leaving)
{
    entry_core core(entry_core_settings{});
    auto now = time_point(seconds(1));
    const auto reserved_at = [](std::span<const entry_action> actions, const std::string& vm) {
        return std::ranges::count_if(actions, [&](const entry_action& action) {
            const auto* sent = std::get_if<send_to_upstream>(&action);
            return sent != nullptr && sent->vm == vm &&
                   std::holds_alternative<reserve_message>(sent->message);
        });
    };
    const auto value = configuration_builder()
                           .version(1)
                           .add(class_builder("status", "assistant"))
                           .add_workspace("desk", sha256_hex("key"))
                           .build();
    core.on_event(configuration_applied{std::make_shared<const configuration>(value.value())}, now);
    for (const auto* vm : {"upstream-1", "upstream-2"}) {
        hello_message hello;
        hello.vm = vm;
        hello.models = {"assistant"};
        hello.slots = 1;
        core.on_event(upstream_connected{vm}, now);
        core.on_event(upstream_message_received{vm, hello}, now);
        // Without a free slot the request is not sent at once but waits with a reservation.
        core.on_event(upstream_message_received{vm, load_message{}}, now);
    }
    caller_request request;
    request.caller = 1;
    request.key_sha256 = sha256_hex("key");
    request.class_name = "status";
    request.model = "assistant";
    BOOST_TEST(reserved_at(core.on_event(request, now), "upstream-1") == 1);
    const auto withdrawn = core.on_event(upstream_leaving{"upstream-1", true}, now);
    const bool is_withdrawn = std::ranges::any_of(withdrawn, [](const entry_action& action) {
        const auto* sent = std::get_if<send_to_upstream>(&action);
        return sent != nullptr && sent->vm == "upstream-1" &&
               std::holds_alternative<cancel_message>(sent->message);
    });
    BOOST_TEST(is_withdrawn);
    // The upstream's own report is older than the cluster's notice.
    core.on_event(upstream_message_received{"upstream-1", load_message{}}, now);
    request.caller = 2;
    const auto actions = core.on_event(request, now);
    BOOST_TEST(reserved_at(actions, "upstream-1") == 0);
    BOOST_TEST(reserved_at(actions, "upstream-2") == 1);
}

/// An entry core with two upstreams of one free slot each, and what it sends them.
struct direct_dispatch {
    direct_dispatch()
    {
        const auto value = configuration_builder()
                               .version(1)
                               .add(class_builder("guide", "assistant"))
                               .add(class_builder("status", "assistant").idempotent())
                               .add(class_builder("booking", "assistant").never_repeat(false))
                               .add_workspace("desk", sha256_hex("key"))
                               .build();
        process(configuration_applied{std::make_shared<const configuration>(value.value())});
        for (const auto* vm : {"upstream-1", "upstream-2"}) {
            hello_message hello;
            hello.vm = vm;
            hello.models = {"assistant"};
            hello.slots = 1;
            process(upstream_connected{vm});
            process(upstream_message_received{vm, hello});
        }
    }

    /// Passes an event to the core and stores the messages that it sends in response.
    void process(const entry_event& event)
    {
        sent.clear();
        for (const auto& action : core.on_event(event, now)) {
            if (const auto* message = std::get_if<send_to_upstream>(&action)) {
                sent.push_back(*message);
            }
        }
    }

    void send(const std::string& class_name)
    {
        caller_request request;
        request.caller = 1;
        request.key_sha256 = sha256_hex("key");
        request.class_name = class_name;
        request.model = "assistant";
        process(request);
    }

    template <class Message> std::size_t count() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(sent, [](const send_to_upstream& item) {
            return std::holds_alternative<Message>(item.message);
        }));
    }

    entry_core core{entry_core_settings{}};
    time_point now{seconds(1)};
    std::vector<send_to_upstream> sent;
};

BOOST_FIXTURE_TEST_SUITE(with_upstreams_that_report_free_slots, direct_dispatch)

BOOST_AUTO_TEST_CASE(sends_the_body_to_one_of_them_at_once)
{
    send("guide");
    BOOST_TEST(count<reserve_message>() == 1U);
    BOOST_TEST(count<dispatch_message>() == 1U);
}

BOOST_AUTO_TEST_CASE(waits_for_a_grant_with_what_may_not_be_repeated)
{
    send("booking");
    BOOST_TEST(count<reserve_message>() == 2U);
    BOOST_TEST(count<dispatch_message>() == 0U);
}

BOOST_AUTO_TEST_CASE(reserves_at_all_when_the_slot_is_no_longer_free)
{
    send("guide");
    const auto direct = sent.front();
    const auto attempt = std::get<reserve_message>(direct.message).attempt;
    process(upstream_message_received{direct.vm, refused_message{attempt, result_code::overloaded, {}}});
    BOOST_TEST(count<reserve_message>() == 2U);
    BOOST_TEST(count<dispatch_message>() == 0U);
}

BOOST_AUTO_TEST_CASE(tries_the_other_when_the_first_does_not_respond)
{
    send("guide");
    const auto silent = sent.front().vm;
    now += milliseconds(300);
    process(tick{});
    BOOST_REQUIRE(count<reserve_message>() == 1U);
    BOOST_TEST(sent.front().vm != silent);
    const auto attempt = std::get<reserve_message>(sent.front().message).attempt;
    process(upstream_message_received{sent.front().vm, granted_message{attempt}});
    BOOST_TEST(count<cancel_message>() == 1U);
    BOOST_TEST(count<dispatch_message>() == 1U);
}

BOOST_AUTO_TEST_CASE(continues_with_the_hedge_when_the_first_refuses)
{
    send("status");
    const auto first = sent.front();
    now += milliseconds(300);
    process(tick{});
    BOOST_REQUIRE(count<reserve_message>() == 1U);
    const auto hedge = std::get<reserve_message>(sent.front().message).attempt;
    const auto hedge_vm = sent.front().vm;
    process(upstream_message_received{hedge_vm, granted_message{hedge}});
    BOOST_REQUIRE(count<dispatch_message>() == 1U);
    const auto attempt = std::get<reserve_message>(first.message).attempt;
    process(upstream_message_received{first.vm, refused_message{attempt, result_code::overloaded, {}}});
    BOOST_TEST(sent.empty());
    process(upstream_message_received{hedge_vm, head_message{hedge, 200, "application/json"}});
    process(upstream_message_received{hedge_vm, chunk_message{hedge, 0, "{}", 1}});
    process(upstream_message_received{hedge_vm, finished_message{hedge, result_code::ok, ran_state::yes}});
    BOOST_TEST(core.request_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(displaces_waiting_work_of_a_lower_tier_when_its_table_is_full)
{
    entry_core_settings settings;
    settings.max_requests = 1;
    entry_core core(settings);
    const time_point now(seconds(1));
    const auto value = configuration_builder()
                           .version(1)
                           .add(class_builder("guide", "assistant").tier(0))
                           .add(class_builder("dossier", "assistant").tier(6))
                           .add_workspace("desk", sha256_hex("key"))
                           .build();
    core.on_event(configuration_applied{std::make_shared<const configuration>(value.value())}, now);
    const auto refused_callers = [&](caller_id caller, const std::string& class_name) {
        caller_request request;
        request.caller = caller;
        request.key_sha256 = sha256_hex("key");
        request.class_name = class_name;
        std::vector<caller_id> refused;
        for (const auto& action : core.on_event(request, now)) {
            if (const auto* answer = std::get_if<full_response>(&action)) {
                BOOST_TEST(answer->body.find("table_full") != std::string::npos);
                BOOST_TEST(answer->body.find("\"ran\":\"no\"") != std::string::npos);
                refused.push_back(answer->caller);
            }
        }
        return refused;
    };
    BOOST_TEST(refused_callers(1, "dossier").empty());
    BOOST_TEST(refused_callers(2, "guide") == std::vector<caller_id>{1}, boost::test_tools::per_element());
    BOOST_TEST(refused_callers(3, "dossier") == std::vector<caller_id>{3}, boost::test_tools::per_element());
    BOOST_TEST(refused_callers(4, "guide") == std::vector<caller_id>{4}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
