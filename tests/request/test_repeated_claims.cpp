#include "request/run_claims.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

namespace {

run_record record_of_attempt()
{
    run_record record;
    record.workspace = "desk";
    record.key = "k1";
    record.attempt = {1, 7};
    record.upstream = "upstream-1";
    record.incarnation = 1;
    return record;
}

/// The first action of this kind that `claims` requested.
template <class Action> Action asked(run_claims& claims)
{
    for (const auto& action : claims.take_actions()) {
        if (const auto* found = std::get_if<Action>(&action)) {
            return *found;
        }
    }
    BOOST_FAIL("the action was not asked for");
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_attempt_that_claims_again)

BOOST_AUTO_TEST_CASE(is_not_affected_by_a_late_release_of_its_first_claim)
{
    run_claims claims;
    const auto now = time_point(seconds(1));
    const auto attempt = record_of_attempt().attempt;
    // The result of the first claim is lost and another record is found, so a release follows in case the
    // claim takes effect late.
    claims.claim(record_of_attempt(), now);
    const auto first = asked<claim_run>(claims);
    claims.on_result(claim_completed{attempt, store_result::unknown, {}}, now);
    auto other = record_of_attempt();
    other.attempt = {2, 9};
    claims.on_result(record_read{attempt, store_result::done, other}, now);
    const auto removal = asked<release_run>(claims);
    claims.on_result(release_completed{attempt, store_result::exists}, now);
    // The other record is removed and the attempt claims again; the release may still take effect.
    BOOST_REQUIRE(claims.claim(record_of_attempt(), now));
    const auto second = asked<claim_run>(claims);
    BOOST_TEST(is_same_claim(first.record, removal.record));
    BOOST_TEST(!is_same_claim(second.record, removal.record));

    // A row of the first claim does not permit a start under the second.
    const auto outcome = claims.on_result(claim_completed{attempt, store_result::exists, first.record}, now);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->what == claim_outcome::kind::found));
}

BOOST_AUTO_TEST_SUITE_END()
