#include "main/upstream_daemon.h"

#include <random>
#include <utility>

namespace clementinegap {
namespace {

upstream_settings core_settings(const settings& values)
{
    upstream_settings result;
    result.vm = values.vm;
    result.zone = values.zone;
    result.region = values.region;
    std::random_device device;
    result.incarnation = (std::uint64_t{device()} << 32U) | device();
    result.models = values.models;
    result.slots = values.slots;
    result.max_queue = values.max_queue;
    if (values.naive) {
        result.order = fifo_queue{};
    }
    return result;
}

} // namespace

upstream_daemon::upstream_daemon(settings values)
    : daemon_base(std::move(values)),
      decisions_(core_settings(settings_), settings_.ring_capacity,
                 [this](const upstream_action& action, time_point now) { perform(action, now); }),
      runs_(*platform_, [this](upstream_event event) { return decisions_.post(std::move(event)); }),
      engine_(settings_.engine_url,
              [this](upstream_event event) { return decisions_.post(std::move(event)); }),
      orders_(*platform_, settings_.vm, settings_.engine_url)
{
}

upstream_daemon::~upstream_daemon() = default;

outcome<void> upstream_daemon::start()
{
    BOOST_OUTCOME_TRY(credentials, load_peer_credentials());
    peers_ = std::make_unique<peer_server>(
        [this](upstream_event event) { return decisions_.post(std::move(event)); }, std::move(credentials),
        events_.clock());
    decisions_.on_batch_end([this] { peers_->flush(); });
    decisions_.on_idle([this](const upstream_core& core) {
        ready_ = core.ready();
        observe(core);
    });
    decisions_.start();
    orders_.start();
    peers_->also_serve(overlay().service());
    return peers_->start(settings_.peer_address);
}

void upstream_daemon::begin_drain()
{
    decisions_.post(drain_started{});
}

void upstream_daemon::stop()
{
    if (peers_) {
        peers_->stop();
    }
    orders_.stop();
    decisions_.stop();
}

bool upstream_daemon::take_order(const http_request& request)
{
    orders_.take(request.body, [this, request](result_code code) { answer_admin(request, code); });
    return true;
}

void upstream_daemon::configure(configuration_ptr value)
{
    decisions_.post(configuration_applied{std::move(value)});
}

void upstream_daemon::members_moved(const std::vector<member_view>& /*members*/)
{
    // Entries connect to upstream daemons, not the other way round.
}

void upstream_daemon::observe(const upstream_core& core)
{
    metrics_.set("clementinegap_queued", static_cast<double>(core.queued()));
    metrics_.set("clementinegap_busy_slots", core.busy_slots());
    metrics_.set("clementinegap_ring_refused", static_cast<double>(decisions_.refused()));
    const auto now = process_now();
    if (now < observed_at_ + status_interval) {
        return;
    }
    observed_at_ = now;
    publish_status({{"queued", core.queued()},
                    {"busy_slots", core.busy_slots()},
                    {"slots", settings_.slots},
                    {"models", settings_.models}});
}

void upstream_daemon::item_seen(const soft_state_item& item)
{
    decisions_.post(soft_state_received{item});
}

void upstream_daemon::perform(const upstream_action& action, time_point now)
{
    std::visit(overloaded{[&](const send_to_entry& value) { peers_->send(value.session, value.message); },
                          [&](const engine_start& value) { engine_.start(value); },
                          [&](const engine_cancel& value) { engine_.cancel(value.run); },
                          [&](const engine_pause_reading& value) { engine_.stop_reading(value.run); },
                          [&](const engine_resume_reading& value) { engine_.resume_reading(value.run); },
                          [&](const engine_pause& value) { engine_.pause(value.run); },
                          [&](const engine_resume& value) { engine_.resume(value.run); },
                          [&](const publish_item& value) { publish(value.item); },
                          [&](const claim_run& value) { runs_.claim(value); },
                          [&](const read_run& value) { runs_.read(value); },
                          [&](const finish_run& value) { runs_.finish(value); },
                          [&](const release_run& value) { runs_.release(value); },
                          [&](const emit_record& value) { apply(value, now); },
                          [&](const drain_completed&) { drain_finished(); }},
               action);
}

} // namespace clementinegap
