#include "differential/naive_router.h"

#include "config/configuration_builder.h"
#include "core/digest.h"
#include "fakes/truth_oracle.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace clementinegap;

namespace {

constexpr std::uint64_t rounds = 300;
constexpr std::size_t upstreams = 3;
constexpr duration length = seconds(4);

/// One input to both: a request, its resend, or a fault of one engine.
struct input {
    enum class kind : std::uint8_t { guide, booking, resend, engine_crash, cut_answer };

    duration at{0};
    kind what{kind::guide};
    std::string body;
    std::size_t upstream{0};
};

std::vector<input> inputs_of(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto pick = [&](std::int64_t low, std::int64_t high) {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random);
    };
    std::vector<input> result;
    std::vector<std::string> bookings;
    for (int i = 0; i < 12; ++i) {
        input next;
        next.at = duration(pick(0, length.count()));
        next.what = static_cast<input::kind>(pick(0, 4));
        next.upstream = static_cast<std::size_t>(pick(0, upstreams - 1));
        next.body =
            R"({"n":)" + std::to_string(i) + R"(,"stand_in_tokens":)" + std::to_string(pick(1, 20)) + "}";
        if (next.what == input::kind::booking) {
            bookings.push_back(next.body);
        }
        if (next.what == input::kind::resend) {
            next.body = bookings.empty() ? next.body : bookings.back();
        }
        result.push_back(std::move(next));
    }
    std::ranges::stable_sort(result, {}, &input::at);
    return result;
}

bool is_request(const input& item)
{
    return item.what < input::kind::engine_crash;
}

struct naive_result {
    std::vector<naive_answer> answers;
    int doubled{0};
    int lies{0}; ///< Told that it did not work, and it ran.
};

naive_result run_naive(const std::vector<input>& inputs, std::uint64_t seed)
{
    manual_scheduler scheduler;
    naive_router router(scheduler, upstreams, seed);
    std::vector<std::size_t> sent;
    for (const auto& item : inputs) {
        scheduler.after(item.at, [&, item] {
            auto& engine = router.engine(item.upstream);
            if (is_request(item)) {
                sent.push_back(router.send(item.body));
            } else if (item.what == input::kind::engine_crash) {
                engine.crash();
                scheduler.after(milliseconds(300), [&engine] { engine.recover(); });
            } else {
                engine.truncate_next(1);
            }
        });
    }
    scheduler.run_until(scheduler.now() + seconds(30));
    naive_result result;
    std::size_t next = 0;
    for (const auto& item : inputs) {
        if (!is_request(item)) {
            continue;
        }
        const auto& answer = router.answer(sent.at(next++));
        result.answers.push_back(answer);
        const bool keyed = item.what != input::kind::guide;
        const int runs = router.executions_of(item.body);
        result.doubled += keyed && runs > 1 ? 1 : 0;
        result.lies += keyed && !answer.succeeded && runs > 0 ? 1 : 0;
    }
    return result;
}

struct product_result {
    std::vector<transcript> answers;
    std::vector<std::string> faults;
};

product_result run_product(const std::vector<input>& inputs, std::uint64_t seed)
{
    fake_deployment deployment(seed);
    truth_oracle oracle(deployment);
    deployment.configure(configuration_builder()
                             .version(1)
                             .add(class_builder("guide", "assistant").tier(0))
                             .add(class_builder("booking", "assistant").tier(1).never_repeat(true))
                             .add_workspace("desk", sha256_hex("key"))
                             .build()
                             .value());
    entry_core_settings entry;
    entry.vm = "entry-1";
    entry.seed = seed;
    deployment.add_entry(entry);
    for (std::size_t i = 0; i < upstreams; ++i) {
        upstream_settings upstream;
        upstream.vm = "upstream-" + std::to_string(i);
        upstream.models = {"assistant"};
        upstream.slots = 4;
        deployment.add_upstream(upstream, {});
    }
    deployment.settle();
    std::vector<caller_id> sent;
    for (const auto& item : inputs) {
        deployment.scheduler().after(item.at, [&, item] {
            auto& engine = deployment.engine_of("upstream-" + std::to_string(item.upstream));
            if (is_request(item)) {
                caller_request request;
                request.method = "POST";
                request.path = "/v1/chat/completions";
                request.key_sha256 = sha256_hex("key");
                request.model = "assistant";
                request.stream = true;
                request.body = item.body;
                const bool keyed = item.what != input::kind::guide;
                request.class_name = keyed ? "booking" : "guide";
                request.idempotency_key = keyed ? sha256_hex(item.body) : "";
                sent.push_back(oracle.send("entry-1", request, keyed));
            } else if (item.what == input::kind::engine_crash) {
                engine.crash();
                deployment.scheduler().after(milliseconds(300), [&engine] { engine.recover(); });
            } else {
                engine.truncate_next(1);
            }
        });
    }
    deployment.run_for(seconds(120));
    product_result result;
    result.faults = oracle.check_end();
    for (const auto caller : sent) {
        result.answers.push_back(deployment.transcript_of(caller));
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(against_the_naive_router)

BOOST_AUTO_TEST_CASE(the_same_inputs_give_equal_answers_or_truthful_failures)
{
    int naive_doubled = 0;
    int naive_lies = 0;
    int naive_whole = 0;
    int product_whole = 0;
    for (std::uint64_t seed = 1; seed <= rounds; ++seed) {
        const auto inputs = inputs_of(seed);
        const auto naive = run_naive(inputs, seed);
        const auto product = run_product(inputs, seed);
        naive_doubled += naive.doubled;
        naive_lies += naive.lies;
        BOOST_TEST(product.faults.empty(), "seed " << seed << ": " << product.faults.front());
        BOOST_REQUIRE(naive.answers.size() == product.answers.size());
        for (std::size_t i = 0; i < naive.answers.size(); ++i) {
            naive_whole += naive.answers[i].succeeded ? 1 : 0;
            product_whole += product.answers[i].succeeded() ? 1 : 0;
            const bool both = naive.answers[i].succeeded && product.answers[i].succeeded();
            BOOST_TEST((!both || naive.answers[i].body == product.answers[i].body),
                       "seed " << seed << ", request " << i << ": answers differ");
        }
    }
    BOOST_TEST_MESSAGE("naive: " << naive_whole << " whole, " << naive_doubled << " doubled, " << naive_lies
                                 << " told wrongly; product: " << product_whole << " whole, none");
    // Inputs under which the naive router does no harm would prove nothing.
    BOOST_TEST(naive_doubled > 0);
    BOOST_TEST(naive_lies > 0);
    BOOST_TEST(product_whole >= naive_whole);
}

BOOST_AUTO_TEST_SUITE_END()
