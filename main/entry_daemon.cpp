#include "main/entry_daemon.h"

#include <random>
#include <utility>

namespace clementinegap {
namespace {

entry_settings core_settings(const settings& values)
{
    entry_settings result;
    result.vm = values.vm;
    result.zone = values.zone;
    std::random_device device;
    result.incarnation = (std::uint64_t{device()} << 32U) | device();
    result.seed = result.incarnation;
    result.max_requests = values.max_requests;
    if (values.naive) {
        result.placement = random_placement{};
    }
    return result;
}

double in_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

entry_daemon::entry_daemon(settings values)
    : daemon_base(std::move(values)),
      decisions_(entry_core(core_settings(settings_)), settings_.ring_capacity,
                 [this](const entry_action& action, time_point now) { perform(action, now); }),
      callers_([this](entry_event event) { return decisions_.post(std::move(event)); })
{
}

entry_daemon::~entry_daemon() = default;

outcome<void> entry_daemon::start()
{
    BOOST_OUTCOME_TRY(credentials, load_peer_credentials());
    peers_ = std::make_unique<peer_client>(
        [this](entry_event event) { return decisions_.post(std::move(event)); }, std::move(credentials));
    decisions_.on_batch_end([this] { peers_->flush(); });
    decisions_.on_idle([this](const entry_core& core) {
        ready_ = core.ready();
        metrics_.set("clementinegap_requests_open", static_cast<double>(core.request_count()));
    });
    decisions_.start();
    http_server_options options;
    options.address = settings_.caller_address;
    options.port = settings_.caller_port;
    options.max_body = settings_.max_body_bytes;
    options.receive_timeout = settings_.receive_timeout;
    if (!settings_.caller_certificate_file.empty()) {
        BOOST_OUTCOME_TRY(certificate, read_file(settings_.caller_certificate_file));
        options.tls_certificate_pem = certificate;
        BOOST_OUTCOME_TRY(key, read_file(settings_.caller_key_file));
        options.tls_key_pem = key;
    }
    return callers_.start(options);
}

void entry_daemon::begin_drain()
{
    decisions_.post(drain_started{});
}

void entry_daemon::stop()
{
    callers_.stop();
    if (peers_) {
        peers_->stop();
    }
    decisions_.stop();
}

void entry_daemon::configure(configuration_ptr value)
{
    decisions_.post(configuration_applied{std::move(value)});
}

void entry_daemon::vms_listed(const std::vector<listed_vm>& vms)
{
    std::vector<std::pair<std::string, std::string>> upstreams;
    for (const auto& vm : vms) {
        if (vm.role == "upstream") {
            upstreams.emplace_back(vm.name, vm.address);
        }
    }
    peers_->connect_to(upstreams);
}

void entry_daemon::perform(const entry_action& action, time_point now)
{
    std::visit(overloaded{[&](const send_to_upstream& value) { peers_->send(value.vm, value.message); },
                          [&](const emit_record& value) { apply(value, now); },
                          [&](const request_measured& value) { measure(value); },
                          [&](const publish_item& value) { publish(value.item); },
                          [&](const drained&) { drain_finished(); },
                          [&](const auto& answer) { callers_.apply(answer); }},
               action);
}

void entry_daemon::measure(const request_measured& action)
{
    metrics_.request_ended(action.class_name, describe(action.code).name, action.target_met,
                           in_seconds(action.first_token), in_seconds(action.total), action.tokens);
}

} // namespace clementinegap
