#include "process/process_deployment.h"

#include "config/configuration_builder.h"
#include "core/digest.h"
#include "process/raw_connection.h"

#include <boost/test/unit_test.hpp>

namespace clementinegap {
namespace {

constexpr std::size_t ring_capacity = 65536;
constexpr std::uint32_t slots = 256;

entry_core_settings entry_values()
{
    entry_core_settings values;
    values.vm = "entry-1";
    values.zone = "zone-1";
    return values;
}

upstream_settings upstream_values()
{
    upstream_settings values;
    values.vm = "upstream-1";
    values.zone = "zone-1";
    values.models = {"assistant"};
    values.slots = slots;
    return values;
}

configuration_ptr test_configuration()
{
    auto built = configuration_builder()
                     .version(1)
                     .add(class_builder("chat", "assistant").tier(1).deadline(seconds(300)))
                     .add_workspace("shop", sha256_hex("test-key"))
                     .route("/v1", "chat")
                     .build();
    BOOST_REQUIRE(built.has_value());
    return std::make_shared<const configuration>(std::move(built).value());
}

} // namespace

process_deployment::process_deployment(const std::string& engine_url, std::size_t max_body,
                                       duration receive_timeout)
    : entry_(entry_values(), ring_capacity,
             [this](const entry_action& action, time_point) { perform(action); }),
      upstream_(upstream_values(), ring_capacity,
                [this](const upstream_action& action, time_point) { perform(action); }),
      callers_([this](entry_event event) { return entry_.post(std::move(event)); }),
      engine_(engine_url, [this](upstream_event event) { return upstream_.post(std::move(event)); }),
      server_(std::make_unique<peer_server>(
          [this](upstream_event event) { return upstream_.post(std::move(event)); }, peer_credentials{},
          upstream_clock_)),
      client_(
          std::make_unique<peer_client>([this](entry_event event) { return entry_.post(std::move(event)); },
                                        peer_credentials{}, entry_clock_))
{
    entry_.on_batch_end([this] { client_->flush(); });
    entry_.on_idle([this](const entry_core& core) { open_requests_ = core.request_count(); });
    upstream_.on_batch_end([this] { server_->flush(); });
    upstream_.on_idle([this](const upstream_core& core) { busy_slots_ = core.busy_slots(); });
    BOOST_REQUIRE(server_->start("127.0.0.1:0"));
    entry_.start();
    upstream_.start();
    entry_.post(configuration_applied{test_configuration()});
    upstream_.post(configuration_applied{test_configuration()});
    client_->connect_to({{"upstream-1", "127.0.0.1:" + std::to_string(server_->port())}});
    http_server_options options;
    options.max_body = max_body;
    options.receive_timeout = receive_timeout;
    BOOST_REQUIRE(callers_.start(options));
    BOOST_REQUIRE(eventually([this] {
        raw_connection caller(port());
        caller.send(
            request_text("GET", "/v1/models", "", "Authorization: Bearer test-key\r\nConnection: close\r\n"));
        return caller.read_to_end().find("assistant") != std::string::npos;
    }));
}

process_deployment::~process_deployment()
{
    callers_.stop();
    client_->stop();
    server_->stop();
    entry_.stop();
    upstream_.stop();
}

void process_deployment::perform(const entry_action& action)
{
    std::visit(overloaded{[&](const send_to_upstream& value) { client_->send(value.vm, value.message); },
                          [&](const response_head& value) { callers_.apply(value); },
                          [&](const response_bytes& value) { callers_.apply(value); },
                          [&](const response_end& value) { callers_.apply(value); },
                          [&](const full_response& value) { callers_.apply(value); },
                          [&](const response_abort& value) { callers_.apply(value); }, [](const auto&) {}},
               action);
}

void process_deployment::perform(const upstream_action& action)
{
    std::visit(overloaded{[&](const send_to_entry& value) { server_->send(value.session, value.message); },
                          [&](const engine_start& value) { engine_.start(value); },
                          [&](const engine_cancel& value) { engine_.cancel(value.run); },
                          [&](const engine_pause_reading& value) { engine_.stop_reading(value.run); },
                          [&](const engine_resume_reading& value) { engine_.resume_reading(value.run); },
                          [](const auto&) {}},
               action);
}

} // namespace clementinegap
