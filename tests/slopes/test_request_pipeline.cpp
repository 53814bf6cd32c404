#include "slopes/request_pipeline.h"

#include "config/configuration_builder.h"
#include "core/digest.h"

#include <boost/test/unit_test.hpp>

using namespace clementinegap;

BOOST_AUTO_TEST_CASE(the_measured_pipeline_serves_what_it_is_given)
{
    const auto rules =
        std::make_shared<const configuration>(configuration_builder()
                                                  .version(1)
                                                  .add(class_builder("class-0", "assistant"))
                                                  .add_workspace("workspace-0", sha256_hex("key-0"))
                                                  .build()
                                                  .value());
    request_pipeline pipeline(rules, 5, 1);
    pipeline_load load;
    load.requests = 50;
    load.tokens = 4;
    pipeline.run(load);
    BOOST_TEST(pipeline.completed() == 50U);
    BOOST_TEST(pipeline.entry_cost().bytes > std::size_t{50} * load.body_bytes);
    BOOST_TEST(pipeline.upstream_cost().bytes > std::size_t{50} * 4 * load.token_bytes);
}
