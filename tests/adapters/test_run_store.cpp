#include "adapters/run_store.h"

#include "adapters/run_record_codec.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace clementinegap;

namespace {

/// Holds each transaction back until it is told what becomes of it.
class held_table : public table_port {
public:
    void transact(std::vector<table_operation> operations,
                  std::function<void(transaction_result)> done) override
    {
        transactions.push_back({std::move(operations), std::move(done)});
    }
    void read(const std::string& /*table*/, const std::string& /*key*/,
              std::function<void(read_result)> /*done*/) override
    {
    }
    void scan(const std::string& /*table*/, const std::string& /*prefix*/,
              std::function<void(scan_result)> /*done*/) override
    {
    }
    void list_vms(std::function<void(std::optional<std::vector<listed_vm>>)> /*done*/) override {}

    struct held {
        std::vector<table_operation> operations;
        std::function<void(transaction_result)> done;
    };
    std::vector<held> transactions;
};

struct claims_in_a_burst {
    claims_in_a_burst()
        : store(table, [this](const upstream_event& event) {
              const auto& answer = std::get<claim_completed>(event);
              answers[answer.attempt.number] = answer;
              return true;
          })
    {
        for (std::uint64_t i = 1; i <= 5; ++i) {
            store.claim({record_of(i, "k" + std::to_string(i))});
        }
    }

    static run_record record_of(std::uint64_t number, const std::string& key)
    {
        run_record record;
        record.workspace = "shop";
        record.key = key;
        record.attempt = {1, number};
        return record;
    }

    void answer(std::size_t index, const transaction_result& result)
    {
        const auto done = table.transactions.at(index).done;
        done(result);
    }

    held_table table;
    std::map<std::uint64_t, claim_completed> answers;
    run_store store;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_run_store, claims_in_a_burst)

BOOST_AUTO_TEST_CASE(puts_the_claims_that_wait_into_one_transaction)
{
    answer(0, {store_result::done, {}, 1});
    BOOST_REQUIRE(table.transactions.size() == 2U);
    BOOST_TEST(table.transactions[1].operations.size() == 4U);
    answer(1, {store_result::unavailable, {}, 0});
    BOOST_REQUIRE(answers.size() == 5U);
    BOOST_TEST((answers[1].result == store_result::done));
    BOOST_TEST((answers[5].result == store_result::unavailable));
}

BOOST_AUTO_TEST_CASE(claims_again_what_only_the_conflict_of_another_held_back)
{
    answer(0, {store_result::done, {}, 1});
    const auto earlier = record_of(99, "k3");
    answer(1, {store_result::exists, {{run_row_key("shop", "k3"), run_record_to_text(earlier), 1}}, 0});
    BOOST_REQUIRE(table.transactions.size() == 3U);
    BOOST_TEST(table.transactions[2].operations.size() == 3U);
    BOOST_TEST((answers[3].result == store_result::exists));
    BOOST_TEST(answers[3].existing.attempt.number == 99U);
    BOOST_TEST(!answers.contains(2));
    answer(2, {store_result::done, {}, 2});
    BOOST_TEST((answers[2].result == store_result::done));
    BOOST_TEST(answers.size() == 5U);
}

BOOST_AUTO_TEST_CASE(never_puts_two_claims_of_one_key_into_a_transaction)
{
    store.claim({record_of(6, "k2")});
    answer(0, {store_result::done, {}, 1});
    BOOST_TEST(table.transactions[1].operations.size() == 4U);
    answer(1, {store_result::done, {}, 2});
    BOOST_REQUIRE(table.transactions.size() == 3U);
    BOOST_TEST(table.transactions[2].operations.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
