#include "fakes/fake_deployment.h"

#include "config/configuration_builder.h"
#include "core/digest.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

/// One entry, two upstreams, a guide class and a keyed booking class.
struct small_deployment {
    small_deployment()
    {
        deployment.configure(configuration_builder()
                                 .version(1)
                                 .add(class_builder("guide", "assistant").tier(0))
                                 .add(class_builder("booking", "assistant").tier(1).never_repeat(true))
                                 .add_workspace("shop", sha256_hex("key"))
                                 .build()
                                 .value());
        entry_core_settings entry;
        entry.vm = "entry-1";
        deployment.add_entry(entry);
        for (const auto* vm : {"upstream-1", "upstream-2"}) {
            upstream_settings upstream;
            upstream.vm = vm;
            upstream.models = {"assistant"};
            upstream.slots = 4;
            deployment.add_upstream(upstream, {});
        }
        deployment.settle();
    }

    caller_request request(const std::string& class_name, const std::string& body,
                           const std::string& key = "") const
    {
        caller_request result;
        result.method = "POST";
        result.path = "/v1/chat/completions";
        result.key_sha256 = sha256_hex("key");
        result.class_name = class_name;
        result.idempotency_key = key;
        result.model = "assistant";
        result.body = body;
        return result;
    }

    fake_deployment deployment;
};

std::string complete_response(const std::string& body, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        text += "data: " + expected_token(body, i) + "\n\n";
    }
    return text + "data: [DONE]\n\n";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_small_deployment, small_deployment)

BOOST_AUTO_TEST_CASE(streams_the_complete_response_to_its_caller)
{
    const auto caller = deployment.send("entry-1", request("guide", R"({"stand_in_tokens":7})"));
    deployment.run_for(seconds(1));
    BOOST_TEST(deployment.transcript_of(caller).succeeded());
    BOOST_TEST(deployment.transcript_of(caller).body == complete_response(R"({"stand_in_tokens":7})", 7));
}

BOOST_AUTO_TEST_SUITE(with_a_keyed_booking)

BOOST_AUTO_TEST_CASE(runs_it_once_and_answers_the_resend_from_the_record)
{
    const auto body = R"({"booking":"b7"})";
    const auto first = deployment.send("entry-1", request("booking", body, "k7"));
    deployment.run_for(seconds(1));
    const auto second = deployment.send("entry-1", request("booking", body, "k7"));
    deployment.run_for(seconds(1));
    BOOST_TEST(deployment.transcript_of(first).succeeded());
    BOOST_TEST(deployment.transcript_of(second).body == deployment.transcript_of(first).body);
    int executions = 0;
    for (const auto* vm : {"upstream-1", "upstream-2"}) {
        const auto& ledger = deployment.engine_of(vm).executions();
        executions += ledger.contains(body) ? ledger.at(body) : 0;
    }
    BOOST_TEST(executions == 1);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
