#include "main/entry_daemon.h"

#include "cluster/upstream_subset.h"
#include "core/peer_limits.h"

#include <random>
#include <utility>

namespace clementinegap {
namespace {

entry_core_settings core_settings(const settings& values)
{
    entry_core_settings result;
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
      decisions_(core_settings(settings_), settings_.ring_capacity,
                 [this](const entry_action& action, time_point now) { perform(action, now); }),
      callers_([this](entry_event event) { return decisions_.post(std::move(event)); })
{
}

entry_daemon::~entry_daemon() = default;

outcome<void> entry_daemon::start()
{
    BOOST_OUTCOME_TRY(credentials, load_peer_credentials());
    peers_ =
        std::make_unique<peer_client>([this](entry_event event) { return decisions_.post(std::move(event)); },
                                      std::move(credentials), events_.clock());
    decisions_.on_batch_end([this] { peers_->flush(); });
    decisions_.on_idle([this](const entry_core& core) {
        ready_ = core.ready();
        observe(core);
    });
    decisions_.start();
    if (!settings_.peer_address.empty()) {
        BOOST_OUTCOME_TRY(overlay().listen(settings_.peer_address));
    }
    http_server_options options;
    options.address = settings_.caller_address;
    options.port = settings_.caller_port;
    options.max_body = settings_.max_body_bytes;
    options.receive_timeout = settings_.receive_timeout;
    const auto limits = limits_of_peers(
        {settings_.buffer_limit_mb, settings_.connection_limit, http_server_options::connection_bytes},
        limits_of_machine());
    options.max_connections = limits.caller_connections;
    options.buffer_limit = limits.buffer_bytes;
    options.ceiling = limits.ceiling_bytes;
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

void entry_daemon::members_moved(const std::vector<member_view>& members)
{
    std::vector<std::pair<std::string, std::string>> upstreams;
    const auto subset = choose_upstreams(
        members, {settings_.vm, settings_.zone, settings_.region, settings_.upstreams_per_model});
    for (const auto* chosen : subset) {
        upstreams.emplace_back(chosen->info.vm, chosen->info.address);
    }
    peers_->connect_to(upstreams);
    for (const auto& member : members) {
        const bool is_leaving = member.leaving;
        if (member.info.role == "upstream" && leaving_[member.info.vm] != is_leaving) {
            leaving_[member.info.vm] = is_leaving;
            decisions_.post(upstream_leaving{member.info.vm, is_leaving});
        }
    }
}

void entry_daemon::item_seen(const soft_state_item& item)
{
    decisions_.post(soft_state_received{item});
}

void entry_daemon::observe(const entry_core& core)
{
    metrics_.set("clementinegap_requests_open", static_cast<double>(core.request_count()));
    metrics_.set("clementinegap_ring_refused", static_cast<double>(decisions_.refused()));
    const auto now = process_now();
    if (now < observed_at_ + status_interval) {
        return;
    }
    observed_at_ = now;
    json upstreams = json::array();
    for (const auto& [vm, view] : core.upstreams()) {
        upstreams.push_back({{"vm", vm},
                             {"zone", view.zone},
                             {"connected", view.connected},
                             {"slots", view.slots},
                             {"free_slots", view.free_slots},
                             {"queued", view.queued},
                             {"expected_wait_ms", to_milliseconds(view.expected_wait)},
                             {"slowed", view.slowed},
                             {"leaving", view.leaving}});
    }
    json classes = json::array();
    if (const auto* rules = core.current_configuration()) {
        for (const auto& item : rules->classes) {
            classes.push_back({{"name", item.name},
                               {"tier", item.tier},
                               {"target_ms", to_milliseconds(item.first_token_target)}});
        }
    }
    publish_status({{"requests_open", core.request_count()}, {"upstreams", upstreams}, {"rules", classes}});
}

void entry_daemon::perform(const entry_action& action, time_point now)
{
    std::visit(overloaded{[&](const send_to_upstream& value) { peers_->send(value.vm, value.message); },
                          [&](const emit_record& value) { apply(value, now); },
                          [&](const request_metrics& value) { measure(value); },
                          [&](const publish_item& value) { publish(value.item); },
                          [&](const drain_completed&) { drain_finished(); },
                          [&](const auto& answer) { callers_.apply(answer); }},
               action);
}

void entry_daemon::measure(const request_metrics& action)
{
    measured_request request;
    request.class_name = action.class_name;
    request.code = describe(action.code).name;
    request.tier = action.tier;
    request.ok = action.code == result_code::ok;
    request.target_met = action.target_met;
    request.queue_wait = in_seconds(action.queue_wait);
    request.first_token = in_seconds(action.first_token);
    request.total = in_seconds(action.total);
    request.tokens = action.tokens;
    request.wasted_tokens = action.wasted_tokens;
    request.dispatches = action.dispatches;
    metrics_.request_ended(request);
}

} // namespace clementinegap
