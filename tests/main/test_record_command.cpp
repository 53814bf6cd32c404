#include "adapters/platform_client.h"
#include "adapters/run_record_codec.h"
#include "main/command_line.h"
#include "stand_ins/platform.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace clementinegap;

namespace {

/// A platform with one run record in the table.
struct one_record {
    one_record()
    {
        BOOST_REQUIRE(platform.start(0).has_value());
        url = "http://127.0.0.1:" + std::to_string(platform.port());
    }
    one_record(const one_record&) = delete;
    one_record& operator=(const one_record&) = delete;
    ~one_record() { platform.stop(); }

    void insert(run_phase phase) const
    {
        run_record record;
        record.workspace = "shop";
        record.key = "k1";
        record.fingerprint = "f";
        record.upstream = "upstream-1";
        record.phase = phase;
        platform_client client(url, seconds(5));
        std::promise<store_result> done;
        client.transact({{table_operation::kind::insert, std::string(run_table), run_row_key("shop", "k1"),
                          run_record_to_text(record), 0}},
                        [&](const transaction_result& result) { done.set_value(result.result); });
        BOOST_REQUIRE((done.get_future().get() == store_result::done));
    }

    read_result read() const
    {
        platform_client client(url, seconds(5));
        std::promise<read_result> done;
        client.read(std::string(run_table), run_row_key("shop", "k1"),
                    [&](read_result result) { done.set_value(std::move(result)); });
        return done.get_future().get();
    }

    exit_code resolve(const std::string& how) const
    {
        return run_command({"record", "resolve", "shop", "k1", "--as", how, "--platform", url});
    }

    platform_stand_in platform;
    std::string url;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_record_with_an_unknown_outcome, one_record)

BOOST_AUTO_TEST_CASE(settled_as_ran_is_finished_and_cannot_be_settled_again)
{
    insert(run_phase::started);
    BOOST_TEST((resolve("ran") == exit_code::ok));
    const auto record = run_record_from_text(read().row.value);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST((record->phase == run_phase::finished));
    BOOST_TEST(!record->answer.has_value());
    BOOST_TEST((resolve("not-run") == exit_code::refused));
    BOOST_TEST((read().result == store_result::done));
}

BOOST_AUTO_TEST_CASE(settled_as_not_run_leaves_the_key_free)
{
    insert(run_phase::started);
    BOOST_TEST((resolve("not-run") == exit_code::ok));
    BOOST_TEST((read().result == store_result::absent));
    BOOST_TEST((resolve("ran") == exit_code::refused));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_record_with_a_known_outcome, one_record)

BOOST_AUTO_TEST_CASE(is_left_alone)
{
    insert(run_phase::finished);
    const auto before = read().row.revision;
    BOOST_TEST((resolve("not-run") == exit_code::refused));
    BOOST_TEST(read().row.revision == before);
}

BOOST_AUTO_TEST_SUITE_END()
