#include "main/daemon_base.h"

#include "config/head_row.h"
#include "core/digest.h"
#include "core/peer_limits.h"
#include "observability/logger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_accepted = 202;
constexpr std::uint16_t http_not_found = 404;
constexpr std::uint16_t http_conflict = 409;
constexpr std::uint16_t http_unavailable = 503;
constexpr int exit_ok = 0;
constexpr int exit_cannot_start = 3;
constexpr std::size_t cluster_ring_capacity = 16384;

cluster_settings cluster_settings_of(const settings& values)
{
    cluster_settings result;
    const bool is_entry = values.role == daemon_role::entry;
    result.self = {values.vm,
                   is_entry ? "entry" : "upstream",
                   values.zone,
                   values.region,
                   values.peer_address,
                   values.models,
                   false};
    result.incarnation = static_cast<std::uint64_t>(process_now().time_since_epoch().count());
    result.seed = hash64(values.vm, result.incarnation);
    result.seeds = values.peer_seeds;
    result.min_poll_interval = values.platform_poll;
    return result;
}

listed_member listed_from(const listed_vm& vm)
{
    return {{vm.name, vm.role, vm.zone, vm.region, vm.address, {}, vm.leaving}};
}

} // namespace

daemon_base::daemon_base(settings values)
    : settings_(std::move(values)), events_(settings_.vm, settings_.timeline_capacity),
      platform_(std::make_unique<platform_client>(settings_.platform_url, settings_.platform_timeout)),
      runtime_([this] { begin_stop("signal"); },
               [] { log_info("reload.requested", "keys are read again when their files change"); }),
      cluster_(cluster_core(cluster_settings_of(settings_)), cluster_ring_capacity,
               [this](const cluster_action& action, time_point now) { perform(action, now); })
{
}

daemon_base::~daemon_base() = default;

int daemon_base::run()
{
    platform_->on_call([this](std::string_view operation, duration span, bool answered) {
        platform_called(operation, span, answered);
    });
    auto started = start_admin();
    if (started) {
        started = start_overlay();
    }
    if (started) {
        started = start();
    }
    if (!started) {
        log_error("start.failed", started.error().message);
        return exit_cannot_start;
    }
    cluster_.on_idle([this](const cluster_core& core) { report(core); });
    cluster_.start();
    log_info("started", "admin on port " + std::to_string(admin_.port()));
    const int code = runtime_.run();
    cluster_.stop();
    overlay_->stop();
    stop();
    // No callback may come once the role's own parts are destroyed.
    platform_.reset();
    admin_.stop();
    log_info("stopped", "exit " + std::to_string(code));
    return code;
}

void daemon_base::platform_called(std::string_view operation, duration span, bool answered)
{
    metrics_.store_called(operation, std::chrono::duration<double>(span).count(), answered);
    if (platform_answers_.exchange(answered) != answered) {
        apply(emit_record{{answered ? "platform.available" : "platform.unavailable", "", "", "", "",
                           std::string(operation)}},
              process_now());
    }
}

void daemon_base::begin_stop(std::string_view reason)
{
    if (draining_.exchange(true)) {
        return;
    }
    log_info("drain.started", reason);
    metrics_.set("clementinegap_draining", 1);
    cluster_.post(leave_requested{});
    begin_drain();
}

void daemon_base::drain_finished()
{
    log_info("drain.finished", "");
    runtime_.finish(exit_ok);
}

void daemon_base::apply(const emit_record& action, time_point now)
{
    metrics_.event_counted(action.record.kind);
    events_.add(action.record, now);
}

void daemon_base::publish(const soft_state_item& item)
{
    cluster_.post(item_published{item});
}

outcome<peer_credentials> daemon_base::load_peer_credentials() const
{
    for (const auto& file :
         {settings_.peer_ca_file, settings_.peer_certificate_file, settings_.peer_key_file}) {
        if (!file.empty()) {
            BOOST_OUTCOME_TRY(read_file(file));
        }
    }
    return peer_credentials{settings_.peer_ca_file, settings_.peer_certificate_file, settings_.peer_key_file};
}

outcome<void> daemon_base::start_overlay()
{
    BOOST_OUTCOME_TRY(credentials, load_peer_credentials());
    overlay_ = std::make_unique<overlay_link>(
        [this](cluster_event event) { return cluster_.post(std::move(event)); }, settings_.vm,
        settings_.peer_address, std::move(credentials));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

outcome<void> daemon_base::start_admin()
{
    http_server_options options;
    options.address = settings_.admin_address;
    options.port = settings_.admin_port;
    options.max_connections = limits_of_peers({}, limits_of_machine()).probe_connections;
    options.buffer_limit = options.max_body;
    options.ceiling = 2 * options.max_body;
    http_server_events events;
    events.on_request = [this](http_request request) { on_admin(std::move(request)); };
    return admin_.start(options, std::move(events));
}

void daemon_base::on_admin(http_request request)
{
    const http_server::headers text{{"Content-Type", "text/plain; charset=utf-8"}};
    if (request.fault != receive_fault::none) {
        answer_admin(request, request.fault == receive_fault::too_large ? result_code::body_too_large
                                                                        : result_code::overloaded);
    } else if (request.path == "/healthz") {
        admin_.answer(request.exchange, http_ok, text, "ok\n");
    } else if (request.path == "/readyz") {
        const bool is_ready = ready() && !draining_;
        admin_.answer(request.exchange, is_ready ? http_ok : http_unavailable, text,
                      is_ready ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        admin_.answer(request.exchange, http_ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                      metrics_text());
    } else if (request.path == "/status") {
        admin_.answer(request.exchange, http_ok, {{"Content-Type", "application/json"}}, status().dump());
    } else if (request.path == "/drain" && request.method == "POST") {
        on_drain(request);
    } else if (request.path == "/orders" && request.method == "POST" && take_order(request)) {
        return;
    } else if (request.path == "/timeline") {
        admin_.answer(request.exchange, http_ok, {{"Content-Type", "application/x-ndjson"}},
                      events_.json_lines(request.query["request"]));
    } else {
        admin_.answer(request.exchange, http_not_found, text, "not found\n");
    }
}

void daemon_base::answer_admin(const http_request& request, result_code code)
{
    const auto& entry = describe(code);
    const json body{{"code", static_cast<int>(code)},
                    {"name", std::string(entry.name)},
                    {"text", std::string(entry.text)}};
    admin_.answer(request.exchange, code == result_code::ok ? http_ok : entry.http_status,
                  {{"Content-Type", "application/json"}}, body.dump());
}

void daemon_base::on_drain(const http_request& request)
{
    const http_server::headers text{{"Content-Type", "text/plain; charset=utf-8"}};
    const auto wanted = request.query.find("vm");
    if (wanted == request.query.end() || wanted->second != settings_.vm) {
        admin_.answer(request.exchange, http_conflict, text, "this is VM " + settings_.vm + "\n");
        return;
    }
    admin_.answer(request.exchange, http_accepted, text, "draining\n");
    begin_stop("order of an operator");
}

void daemon_base::publish_status(json role_part)
{
    const std::lock_guard lock(status_mutex_);
    role_status_ = std::move(role_part);
}

json daemon_base::status() const
{
    json classes = json::array();
    for (const auto& item : metrics_.totals()) {
        classes.push_back({{"name", item.name},
                           {"ended", item.ended},
                           {"ok", item.ok},
                           {"target_met", item.target_met},
                           {"tokens", item.tokens}});
    }
    const std::lock_guard lock(status_mutex_);
    return {{"vm", settings_.vm},
            {"role", settings_.role == daemon_role::entry ? "entry" : "upstream"},
            {"zone", settings_.zone},
            {"region", settings_.region},
            {"program_version", CG_VERSION},
            {"configuration_version", version_.load()},
            {"ready", ready() && !draining_},
            {"draining", draining_.load()},
            {"uptime_s", std::chrono::duration_cast<seconds>(process_now() - started_at_).count()},
            {"timeline_dropped", events_.dropped()},
            {"classes", classes},
            {"role_part", role_status_}};
}

std::string daemon_base::metrics_text()
{
    metrics_.set("clementinegap_timeline_dropped", static_cast<double>(events_.dropped()));
    metrics_.set("clementinegap_configuration_version", static_cast<double>(version_.load()));
    return metrics_.text();
}

void daemon_base::perform(const cluster_action& action, time_point now)
{
    std::visit(overloaded{[&](const maintain_streams& value) { overlay_->maintain_streams(value.addresses); },
                          [&](const send_to_peer& value) { overlay_->send(value.address, value.message); },
                          [&](const poll_head&) { read_head(); },
                          [&](const fetch_configuration&) { read_configuration(); },
                          [&](const poll_members&) { read_members(); },
                          [&](const apply_configuration& value) {
                              version_ = value.value->version;
                              log_info("configuration.applied", "version " + std::to_string(version_));
                              configure(value.value);
                          },
                          [&](const deliver_item& value) { item_seen(value.item); },
                          [&](const members_changed& value) { members_moved(value.members); },
                          [&](const platform_leave_notice&) {
                              log_info("member.leaving", "the platform's list says that this VM is leaving");
                          },
                          [&](const cluster_record& value) { apply(emit_record{value.record}, now); }},
               action);
}

void daemon_base::read_head()
{
    platform_->read("configuration", "head", [this](const read_result& result) {
        head_polled answer;
        if (result.result == store_result::done) {
            if (const auto head = head_from_row(result.row.value)) {
                answer.head = {head->version, head->hash};
            }
        }
        cluster_.post(answer);
    });
}

void daemon_base::read_configuration()
{
    platform_->read("configuration", "current", [this](const read_result& result) {
        cluster_.post(configuration_fetched{result.row.value});
    });
}

void daemon_base::read_members()
{
    platform_->list_vms([this](const std::optional<std::vector<listed_vm>>& vms) {
        members_polled answer;
        if (vms) {
            answer.members.emplace();
            std::ranges::transform(*vms, std::back_inserter(*answer.members), listed_from);
        }
        cluster_.post(answer);
    });
}

void daemon_base::report(const cluster_core& core)
{
    metrics_.set("clementinegap_members", static_cast<double>(core.members().fleet_size()));
    metrics_.set("clementinegap_overlay_peers", static_cast<double>(core.connected()));
    metrics_.set("clementinegap_overlay_items", static_cast<double>(core.items().size()));
    metrics_.set("clementinegap_overlay_bytes_sent", static_cast<double>(overlay_->bytes_sent()));
    metrics_.set("clementinegap_overlay_bytes_received", static_cast<double>(overlay_->bytes_received()));
}

} // namespace clementinegap
