#include "fakes/fake_deployment.h"

#include "core/digest.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

constexpr const char* secret_prompt = "the-secret-prompt";
constexpr const char* secret_key = "the-secret-key";

/// One entry and one upstream that serve a keyed class.
struct recorded_deployment {
    recorded_deployment()
    {
        configuration value;
        value.version = 1;
        request_class booking;
        booking.name = "booking";
        booking.repeat = repeat_rule::never;
        booking.model = "assistant";
        value.classes = {booking};
        value.workspaces = {{"shop", sha256_hex("bearer"), 1, {}}};
        deployment.configure(value);
        entry_core_settings entry;
        entry.vm = "entry-1";
        deployment.add_entry(entry);
        upstream_settings upstream;
        upstream.vm = "upstream-1";
        upstream.models = {"assistant"};
        deployment.add_upstream(upstream, {});
        deployment.settle();
    }

    caller_id send(const std::string& class_name)
    {
        caller_request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.key_sha256 = sha256_hex("bearer");
        request.class_name = class_name;
        request.model = "assistant";
        request.idempotency_key = secret_key;
        request.body = std::string(R"({"prompt":")") + secret_prompt + R"("})";
        return deployment.send("entry-1", request);
    }

    bool has_record(std::string_view kind, std::string_view detail) const
    {
        return std::ranges::any_of(deployment.records(), [&](const event_record& record) {
            return record.kind == kind && record.detail.find(detail) != std::string::npos;
        });
    }

    fake_deployment deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_records_of_a_request, recorded_deployment)

BOOST_AUTO_TEST_CASE(give_the_reason_of_each_decision)
{
    send("booking");
    send("no_such_class");
    deployment.run_for(seconds(5));
    BOOST_TEST(has_record("request.admitted", "tier 0, first-token target 1000 ms"));
    BOOST_TEST(has_record("request.reserved", "8 free slots"));
    BOOST_TEST(has_record("request.first_token", "in time"));
    BOOST_TEST(has_record("request.refused_at_admission", "unknown_class"));
}

BOOST_AUTO_TEST_CASE(hold_no_prompt_no_key_and_no_bearer_key)
{
    send("booking");
    send("booking");
    deployment.run_for(seconds(5));
    deployment.crash("upstream-1");
    send("booking");
    deployment.run_for(seconds(70));
    BOOST_TEST(deployment.records().size() > 10U);
    for (const auto& record : deployment.records()) {
        const auto all = record.kind + record.request_id + record.class_name + record.workspace +
                         record.upstream + record.detail;
        for (const auto* secret : {secret_prompt, secret_key, "bearer"}) {
            BOOST_TEST(all.find(secret) == std::string::npos, record.kind << " holds " << secret);
        }
        BOOST_TEST(all.find(sha256_hex("bearer")) == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
