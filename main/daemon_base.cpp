#include "main/daemon_base.h"

#include "observability/logger.h"

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

} // namespace

daemon_base::daemon_base(settings values)
    : settings_(std::move(values)), events_(settings_.vm, settings_.timeline_capacity),
      platform_(std::make_unique<platform_client>(settings_.platform_url, settings_.platform_timeout)),
      runtime_([this] { begin_stop("signal"); },
               [] { log_info("reload.requested", "keys are read again at the next connection"); })
{
}

daemon_base::~daemon_base()
{
    stop_polling();
}

int daemon_base::run()
{
    platform_->on_call([this](std::string_view operation, duration span, bool answered) {
        metrics_.store_called(operation, std::chrono::duration<double>(span).count(), answered);
    });
    auto started = start_admin();
    if (started) {
        started = start();
    }
    if (!started) {
        log_error("start.failed", started.error().message);
        return exit_cannot_start;
    }
    polling_ = true;
    poll_thread_ = std::thread([this] { poll_platform(); });
    log_info("started", "admin on port " + std::to_string(admin_.port()));
    const int code = runtime_.run();
    stop_polling();
    stop();
    // No callback may come once the role's own parts are destroyed.
    platform_.reset();
    admin_.stop();
    log_info("stopped", "exit " + std::to_string(code));
    return code;
}

void daemon_base::begin_stop(std::string_view reason)
{
    if (draining_.exchange(true)) {
        return;
    }
    log_info("drain.started", reason);
    metrics_.set("clementinegap_draining", 1);
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

void daemon_base::publish(const soft_item& /*item*/)
{
    // Daemons do not exchange soft state yet.
}

outcome<peer_credentials> daemon_base::load_peer_credentials() const
{
    peer_credentials result;
    if (settings_.peer_certificate_file.empty()) {
        return result;
    }
    BOOST_OUTCOME_TRY(ca, read_file(settings_.peer_ca_file));
    BOOST_OUTCOME_TRY(certificate, read_file(settings_.peer_certificate_file));
    BOOST_OUTCOME_TRY(key, read_file(settings_.peer_key_file));
    result = {std::move(ca), std::move(certificate), std::move(key)};
    return result;
}

outcome<void> daemon_base::start_admin()
{
    http_server_options options;
    options.address = settings_.admin_address;
    options.port = settings_.admin_port;
    http_server_events events;
    events.on_request = [this](http_request request) { on_admin(std::move(request)); };
    return admin_.start(options, std::move(events));
}

void daemon_base::on_admin(http_request request)
{
    const http_server::headers text{{"Content-Type", "text/plain; charset=utf-8"}};
    if (request.path == "/healthz") {
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
    } else if (request.path == "/timeline") {
        admin_.answer(request.exchange, http_ok, {{"Content-Type", "application/x-ndjson"}},
                      events_.json_lines(request.query["request"]));
    } else {
        admin_.answer(request.exchange, http_not_found, text, "not found\n");
    }
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

void daemon_base::poll_platform()
{
    std::unique_lock lock(poll_mutex_);
    while (polling_) {
        platform_->read("configuration", "current",
                        [this](const read_result& result) { read_configuration(result); });
        platform_->list_vms([this](const std::optional<std::vector<listed_vm>>& vms) {
            if (vms) {
                vms_listed(*vms);
            }
        });
        poll_wakeup_.wait_for(lock, settings_.platform_poll, [this] { return !polling_; });
    }
}

void daemon_base::read_configuration(const read_result& result)
{
    if (result.result != store_result::done) {
        return;
    }
    auto value = configuration_from_json(result.row.value);
    if (!value) {
        log_error("configuration.rejected", value.error().message);
        return;
    }
    if (value.value().version <= version_) {
        return;
    }
    version_ = value.value().version;
    log_info("configuration.applied", "version " + std::to_string(version_));
    configure(std::make_shared<const configuration>(std::move(value).value()));
}

void daemon_base::stop_polling()
{
    {
        const std::lock_guard lock(poll_mutex_);
        polling_ = false;
    }
    poll_wakeup_.notify_all();
    if (poll_thread_.joinable()) {
        poll_thread_.join();
    }
}

} // namespace clementinegap
