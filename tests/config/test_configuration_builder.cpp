#include "config/configuration_builder.h"

#include "core/digest.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

BOOST_AUTO_TEST_SUITE(a_configuration_builder)

BOOST_AUTO_TEST_CASE(builds_the_same_configuration_for_any_order_of_calls)
{
    const auto one = configuration_builder()
                         .add(class_builder("guide", "assistant").tier(0))
                         .add(class_builder("draft", "assistant").tier(6))
                         .add_workspace("shop", sha256_hex("a"))
                         .route("/v1", "guide")
                         .route("/v1/completions", "draft")
                         .build();
    const auto other = configuration_builder()
                           .route("/v1/completions", "draft")
                           .add_workspace("shop", sha256_hex("a"))
                           .add(class_builder("draft", "assistant").tier(6))
                           .route("/v1", "guide")
                           .add(class_builder("guide", "assistant").tier(0))
                           .build();
    BOOST_REQUIRE(one);
    BOOST_REQUIRE(other);
    BOOST_TEST((one.value() == other.value()));
    BOOST_TEST(one.value().classify("/v1/completions", "")->name == "draft");
}

BOOST_AUTO_TEST_CASE(rejects_what_is_invalid_in_a_parsed_configuration)
{
    const auto built = configuration_builder()
                           .add(class_builder("guide", "assistant").tier(max_tiers))
                           .add(class_builder("guide", "assistant"))
                           .route("/v1", "unknown")
                           .build();
    BOOST_REQUIRE(!built);
    BOOST_TEST((built.error().code == result_code::invalid_configuration));
    BOOST_TEST(built.error().message.find("classes[0].tier") != std::string::npos);
    BOOST_TEST(built.error().message.find("\"guide\" twice") != std::string::npos);
    BOOST_TEST(built.error().message.find("class \"unknown\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
