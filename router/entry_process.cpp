#include "router/entry_process.h"

#include "core/peer_limits.h"
#include "platform/header_names.h"
#include "router/suspicion_rows.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace clementinegap {
namespace {

/// Time between the deadline of the last request and the SIGKILL that ends a slow stop.
constexpr duration stop_margin = milliseconds(500);
/// The settings file is polled, because it may change without a signal.
constexpr duration settings_check_interval = seconds(1);
/// The platform takes a daemon out of rotation after two failed probes at one probe a second.
constexpr duration rotation_delay = milliseconds(2600);
/// A relay that is disconnected from the store is detected within two seconds, after which its readers read
/// the store themselves. Relays are therefore only used if changes may take this long to propagate.
constexpr duration min_relay_bound = seconds(3);
constexpr std::string_view usage_duty_name = "usage";

router_settings router_settings_of(const entry_settings& settings, std::uint64_t incarnation)
{
    router_settings result;
    result.daemon = settings.vm;
    result.zone = settings.zone;
    result.incarnation = incarnation;
    result.placement = settings.placement;
    result.assumed_speed = settings.assumed_speed;
    result.max_backoff = settings.longest_pause;
    result.retries = {settings.retry_ratio, settings.retry_slack, settings.retry_window};
    result.follows_others = true;
    return result;
}

store_tables::settings table_settings_of(const entry_settings& settings, std::uint64_t incarnation)
{
    store_tables::settings result;
    result.daemon = settings.vm;
    result.zone = settings.zone;
    result.link_mbps = settings.link_mbps;
    result.store = settings.store_address;
    result.use_relays = std::min(settings.directory_bound, settings.configuration_bound) >= min_relay_bound;
    result.configuration_bound = settings.configuration_bound;
    result.directory_bound = settings.directory_bound;
    result.seed = incarnation;
    return result;
}

} // namespace

entry_process::entry_process(entry_settings settings, std::string settings_file)
    : settings_(std::move(settings)), settings_file_(std::move(settings_file)),
      incarnation_(static_cast<std::uint64_t>(event_loop::unix_time_ms())),
      log_(settings_.vm, settings_.log_level), router_(router_settings_of(settings_, incarnation_)),
      peers_(
          loop_, zone_number(settings_.zone), [this](load_reported report) { on_report(std::move(report)); },
          [this](stream_message_received message) { gateway_.post(std::move(message)); },
          [this](const std::string& why) { log_.warn("peer.bad_report", why); }),
      gateway_(
          loop_, router_, log_, counters_, [this](soft_state_item item) { peers_.publish(std::move(item)); },
          [this](std::uint64_t part, const std::optional<quarantined_part>& quarantined) {
              record_quarantine(part, quarantined);
          },
          [this](const send_stream_message& message) { peers_.send(settings_.vm, message); },
          [this](std::span<const suspicion> suspicions) { record_suspicions(suspicions); },
          [this](std::string_view workspace) {
              if (duty_) {
                  duty_->count(workspace);
              }
          }),
      probes_(loop_, [this](std::string_view path) { return probe(path); }),
      fetch_(loop_, [this](const std::string& text) { apply_configuration(text, "peer"); }),
      catch_up_(event_loop::now()), configuration_record_(settings_.vm),
      tables_(
          loop_, table_settings_of(settings_, incarnation_),
          [this](store_tables::table which, table_follower::progress progress) {
              on_rows(which, std::move(progress));
          },
          [this](std::string_view event, std::string_view detail) { log_.info(event, detail); },
          [this]() -> const std::string& { return configuration_text_; }),
      registration_(loop_, settings_.store_address, store_tables::daemons_table, settings_.vm,
                    to_string(settings_.peer_address)),
      suspicions_reader_(std::make_unique<table_reader>(
          loop_, settings_.store_address, table_follower(std::string(suspicions_table), incarnation_),
          [this](const table_follower::progress& progress) { on_suspicions(progress); },
          [this](const table_reader::call_result& result) {
              if (!result.succeeded) {
                  log_.info("suspicions.read_failed", result.error);
              }
          }))
{
    begin_duties();
}

void entry_process::begin_duties()
{
    if (!settings_.duties) {
        return;
    }
    const auto& duties = *settings_.duties;
    bool is_usage_wanted = false;
    for (const auto& name : duties.names) {
        is_usage_wanted = is_usage_wanted || name == usage_duty_name;
        if (name != usage_duty_name) {
            log_.info("duty.unknown", name);
        }
    }
    if (!is_usage_wanted) {
        return;
    }
    duty_runner::settings values;
    values.usage = {settings_.vm, incarnation_, duties.usage_window, duties.usage_late, duties.lease_term};
    values.store = settings_.store_address;
    values.service = duties.service;
    values.calls_per_second = duties.calls_per_second;
    duty_ = std::make_unique<duty_runner>(
        loop_, std::move(values), &event_loop::unix_time_ms,
        [this](std::string_view event, std::string_view detail) { log_.info(event, detail); }, counters_);
}

int entry_process::run()
{
    constexpr int exit_cannot_listen = 3;
    const auto limits =
        limits_of_peers({settings_.buffer_limit_mb, settings_.connection_limit, 0}, limits_of_machine());
    loop_.buffers().set_limit(limits.buffer_bytes);
    loop_.buffers().set_ceiling(limits.ceiling_bytes);
    gateway_.set_connection_limit(limits.caller_connections);
    tables_.set_connection_limit(limits.daemon_connections);
    probes_.set_connection_limit(limits.probe_connections);
    loop_.on_signal(SIGTERM, [this] { begin_shutdown(); });
    loop_.on_signal(SIGINT, [this] { begin_shutdown(); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    if (!gateway_.listen(settings_.caller_address) || !probes_.listen(settings_.readiness_address) ||
        !peers_.bind(settings_.peer_address) || !tables_.listen(settings_.peer_address)) {
        log_.warn("daemon.cannot_listen", to_string(settings_.caller_address));
        log_.flush(event_loop::now());
        return exit_cannot_listen;
    }
    log_.info("daemon.started", "callers " + to_string(settings_.caller_address) + " store " +
                                    to_string(settings_.store_address));
    wake();
    loop_.run();
    log_.info("daemon.stopped", "open requests " + std::to_string(gateway_.open_requests()));
    log_.flush(event_loop::now());
    return 0;
}

void entry_process::wake()
{
    const auto now = event_loop::now();
    if (router_.next_due() <= now) {
        gateway_.post(tick{});
    }
    tables_.run(now);
    confirm_directory();
    registration_.run(now);
    for (auto& [part, each] : quarantine_writes_) {
        each.run(now);
    }
    std::erase_if(quarantine_writes_, [](const auto& each) { return each.second.done(); });
    if (configuration_write_) {
        configuration_write_->run(now);
    }
    read_suspicions(now);
    if (suspicions_write_) {
        suspicions_write_->run(now);
    }
    if (duty_) {
        duty_->run(now);
    }
    if (now >= next_report_) {
        send_report(now);
    }
    if (now >= next_sweep_) {
        gateway_.sweep(now);
        probes_.sweep(now);
        tables_.sweep(now);
        record_configuration(now);
        log_.flush(now);
        next_sweep_ = now + entry_gateway::sweep_interval;
    }
    reload_if_changed(now);
    continue_shutdown(now);
    schedule();
}

void entry_process::send_report(time_point now)
{
    auto report = router_.report(now);
    report.next_in = peers_.interval();
    report.relay = tables_.offer(now);
    if (duty_) {
        report.usage = duty_->statement(now);
    }
    peers_.send(report);
    next_report_ = now + peers_.interval();
}

void entry_process::confirm_directory()
{
    const auto at = tables_.confirmed_at(store_tables::table::directory);
    if (std::exchange(directory_confirmed_at_, at) != at) {
        gateway_.post(directory_confirmed{at});
    }
}

void entry_process::schedule()
{
    auto due = std::min({router_.next_due(), tables_.due(), registration_.due(), next_report_, next_sweep_});
    for (const auto& [part, each] : quarantine_writes_) {
        due = std::min(due, each.due());
    }
    if (configuration_write_) {
        due = std::min(due, configuration_write_->due());
    }
    if (suspicions_reader_) {
        due = std::min(due, suspicions_reader_->due());
    }
    if (suspicions_write_) {
        due = std::min(due, suspicions_write_->due());
    }
    if (duty_) {
        due = std::min(due, duty_->due());
    }
    loop_.wake_at(due, [this] { wake(); });
}

void entry_process::on_report(load_reported report)
{
    const auto peer = catch_up_.on_report(report.report.daemon, report.report.configuration_version,
                                          version_in_force(), event_loop::now());
    const auto address = peer ? daemon_addresses_.find(*peer) : daemon_addresses_.end();
    if (address != daemon_addresses_.end()) {
        fetch_.start(address->second);
    }
    if (peer) {
        tables_.ask_at_once(store_tables::table::configuration);
    }
    tables_.on_report(report.report, version_in_force(), event_loop::now());
    if (duty_) {
        duty_->heard(report.report, event_loop::now());
    }
    report.report.usage.reset(); // The load tracker keeps reports and has no use for it.
    gateway_.post(std::move(report));
}

probe_server::response entry_process::probe(std::string_view path)
{
    if (path == platform_names::readiness_path) {
        return {router_.is_ready() ? 200 : 503, "text/plain", router_.is_ready() ? "ready\n" : "not ready\n"};
    }
    if (path == settings_.metrics_path) {
        counters_.set("clementinegap_requests_open", static_cast<double>(router_.open_requests()));
        counters_.set("clementinegap_members", static_cast<double>(router_.loads().reporting_daemons() + 1));
        counters_.set("clementinegap_upstream_limits",
                      static_cast<double>(router_.limits().current().size()));
        counters_.set("clementinegap_draining", router_.draining() ? 1 : 0);
        counters_.set("clementinegap_buffered_bytes", static_cast<double>(loop_.buffers().used()));
        counters_.set("clementinegap_held_bytes", static_cast<double>(loop_.buffers().total()));
        counters_.set("clementinegap_caller_connections", static_cast<double>(gateway_.caller_connections()));
        counters_.set("clementinegap_connections_shed", static_cast<double>(loop_.peers().shed_count()));
        for (const auto& [name, which] : {std::pair("configuration", store_tables::table::configuration),
                                          std::pair("directory", store_tables::table::directory)}) {
            const auto age = event_loop::now() - tables_.confirmed_at(which);
            counters_.set(std::string("clementinegap_") + name + "_unconfirmed_seconds",
                          std::chrono::duration<double>(age).count());
        }
        if (duty_) {
            duty_->measure(event_loop::now());
        }
        const auto* table = router_.table();
        counters_.set("clementinegap_configuration_version",
                      table == nullptr ? 0 : static_cast<double>(table->version()));
        return {200, "text/plain; version=0.0.4", counters_.text()};
    }
    return {404, "text/plain", "not found\n"};
}

void entry_process::begin_shutdown()
{
    if (stop_started_at_ != never) {
        return;
    }
    stop_started_at_ = event_loop::now();
    log_.info("daemon.stopping", "open requests " + std::to_string(gateway_.open_requests()));
    gateway_.stop_accepting_work();
    gateway_.post(drain_begun{stop_started_at_ + settings_.stop_grace - stop_margin});
}

void entry_process::continue_shutdown(time_point now)
{
    if (stop_started_at_ == never || now < stop_started_at_ + rotation_delay) {
        return;
    }
    const bool all_served = gateway_.close_idle();
    if (all_served || now >= stop_started_at_ + settings_.stop_grace - stop_margin / 2) {
        if (duty_) {
            send_report(now); // The counts since the last report would be lost with this process.
        }
        loop_.stop();
    }
}

void entry_process::reload_if_changed(time_point now)
{
    if (now < next_settings_check_) {
        return;
    }
    next_settings_check_ = now + settings_check_interval;
    const auto text = settings_file_text(settings_file_);
    if (!text || text.value() == settings_text_) {
        return;
    }
    const bool first = settings_text_.empty();
    settings_text_ = text.value();
    if (!first) {
        reload();
    }
}

void entry_process::reload()
{
    const auto reloaded = entry_settings_from_file(settings_file_);
    if (!reloaded) {
        log_.warn("daemon.reload_refused", reloaded.error().message);
        return;
    }
    const auto& next = reloaded.value();
    settings_.stop_grace = next.stop_grace;
    if (!(next.store_address == settings_.store_address)) {
        settings_.store_address = next.store_address;
        tables_.set_store(next.store_address);
        if (suspicions_reader_) {
            suspicions_reader_->set_store(next.store_address);
        }
        if (duty_) {
            duty_->set_store(next.store_address);
        }
    }
    // The listening addresses cannot change while the process runs.
    log_.info("daemon.reloaded", "store " + to_string(settings_.store_address));
}

} // namespace clementinegap
