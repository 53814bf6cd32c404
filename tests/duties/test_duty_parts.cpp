#include "duties/duty_ranking.h"
#include "duties/duty_row.h"
#include "duties/duty_tenure.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

constexpr time_point begin{seconds(1'000)};
constexpr duration term = seconds(3);

/// A tenure that may write over an absent row.
struct observed_tenure {
    observed_tenure() { tenure.start(begin); }

    time_point now = begin + term + milliseconds(100);
    duty_tenure tenure{"vm-0", term};
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_tenure)

BOOST_FIXTURE_TEST_CASE(waits_for_the_whole_term_and_the_margin, observed_tenure)
{
    // Guards against a take-over of a lease that may still be held.
    BOOST_TEST(!tenure.may_write(now - milliseconds(1)));
    BOOST_TEST(tenure.may_write(now));
}

BOOST_FIXTURE_TEST_CASE(counts_the_lease_from_the_request_however_late_the_answer_is, observed_tenure)
{
    // Guards against calls after the end of the lease.
    tenure.try_write(1, {}, 0, now);
    const auto answered = now + milliseconds(2'400);
    BOOST_TEST(tenure.written({1, 1, 0}, answered).has_value());
    BOOST_TEST(tenure.may_send(answered));
    BOOST_TEST((tenure.send_deadline(answered) < now + term));
    BOOST_TEST(!tenure.may_send(answered + milliseconds(200)));
}

BOOST_FIXTURE_TEST_CASE(never_tries_a_token_twice, observed_tenure)
{
    // Guards against a late write whose token another acquisition has.
    const auto first = tenure.try_write(1, {}, 0, now);
    const auto second = tenure.try_write(2, {}, 0, now + seconds(1));
    BOOST_TEST(second.row.lease.number > first.row.lease.number);
}

BOOST_FIXTURE_TEST_CASE(sends_nothing_once_a_greater_token_is_stated, observed_tenure)
{
    // Guards against a lower token after a higher one.
    tenure.try_write(1, {}, 0, now);
    tenure.written({1, 1, 0}, now);
    tenure.heard({"vm-1", 1'000'000, 9, 0}, now);
    BOOST_TEST(!tenure.may_send(now));
    const auto next = tenure.try_write(2, {}, 0, now + seconds(4));
    BOOST_TEST(next.row.lease.number > 1'000'000U);
    BOOST_TEST(next.expected_version == no_row_version);
}

BOOST_FIXTURE_TEST_CASE(does_not_hold_by_a_write_in_another_era_of_the_store, observed_tenure)
{
    // Guards against a version that came again after a restore, over the row of another holder.
    tenure.try_write(1, {}, 0, now);
    tenure.written({1, 1, 1}, now);
    tenure.try_write(2, {}, 0, now + seconds(1));
    BOOST_TEST(!tenure.written({2, 2, 2}, now + seconds(1)).has_value());
    BOOST_TEST(!tenure.holds(now + seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_row)

BOOST_AUTO_TEST_CASE(comes_back_as_it_was_written)
{
    // Guards against counts that change on their way through the store.
    const duty_row row{{"vm-0", 7, 9}, 4, {{5, {{"fida11", 412}}}, {6, {}}}};
    BOOST_TEST((duty_row_from(to_row(row)).value() == row));
}

BOOST_AUTO_TEST_CASE(is_an_error_when_malformed)
{
    // Guards against a row that cannot be read and counts as absent or free.
    const std::string lease = R"("holder":"a","number":1,"expires_unix_ms":1,"sent":0,)";
    for (const std::string& text :
         {std::string(), std::string("{}"), std::string("[]"), "{" + lease + "\"reports\":7}",
          "{" + lease + R"("reports":[{"window_id":2,"counts":{}},{"window_id":1,"counts":{}}]})",
          "{" + lease + R"("reports":[{"window_id":2,"counts":{"x":-1}}]})",
          std::string(R"({"holder":"","number":1,"expires_unix_ms":1,"sent":0,"reports":[]})")}) {
        BOOST_TEST(!duty_row_from(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(the_ranking_counts_older_daemons_that_live)
{
    // Guards against reports that are left to a dead daemon, and against two daemons of one rank.
    duty_ranking ranking("vm-1", 5);
    ranking.heard("vm-0", 5, seconds(1), begin);
    ranking.heard("vm-2", 4, seconds(1), begin);
    ranking.heard("vm-3", 6, seconds(1), begin);
    BOOST_TEST(ranking.rank(begin + seconds(2)) == 2U);
    BOOST_TEST(ranking.rank(begin + seconds(4)) == 0U);
}
