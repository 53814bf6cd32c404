#pragma once

#include "router/configuration_fetch.h"
#include "router/decision_log.h"
#include "router/duty_runner.h"
#include "router/entry_gateway.h"
#include "router/entry_settings.h"
#include "router/peer_link.h"
#include "router/probe_server.h"
#include "router/store_tables.h"
#include "routing/configuration_catch_up.h"
#include "routing/configuration_record.h"
#include "routing/request_router.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace clementinegap {

/// An entry daemon that routes directly to upstreams: connects the router with callers, upstreams, the
/// platform's store and the other daemons, from start-up to a graceful stop.
class entry_process {
public:
    entry_process(entry_settings settings, std::string settings_file);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    ~entry_process() = default;

    /// Serves until a graceful stop. \returns the exit code of the process.
    int run();

private:
    void on_rows(store_tables::table which, table_follower::progress progress);
    void on_configuration(table_follower::progress progress);
    void on_directory(table_follower::progress progress);
    void on_daemons(table_follower::progress progress);
    /// \returns the version; nothing if the text is unreadable.
    std::optional<std::uint64_t> apply_configuration(const std::string& text, std::string_view source);
    std::uint64_t version_in_force() const;
    void on_report(load_reported report);
    /// Records the configuration in the store if that is up to this daemon.
    void record_configuration(time_point now);
    void record_quarantine(std::uint64_t part, const std::optional<quarantined_part>& quarantined);
    /// Starts the duties that the settings name.
    void begin_duties();
    void record_suspicions(std::span<const suspicion> suspicions);
    void on_suspicions(const table_follower::progress& progress);
    /// Reads the recorded suspicions until that has succeeded once.
    void read_suspicions(time_point now);
    probe_server::response probe(std::string_view path);
    void begin_shutdown();
    void continue_shutdown(time_point now);
    void reload();
    void reload_if_changed(time_point now);
    /// Tells the router until when the directory has shown all changes.
    void confirm_directory();
    void send_report(time_point now);
    void wake();
    void schedule();

    entry_settings settings_;
    std::string settings_file_;
    std::uint64_t incarnation_;
    event_loop loop_;
    decision_log log_;
    metrics counters_;
    request_router router_;
    peer_link peers_;
    entry_gateway gateway_;
    probe_server probes_;
    configuration_fetch fetch_;
    configuration_catch_up catch_up_;
    std::string configuration_text_; ///< The configuration in force.
    configuration_record configuration_record_;
    store_tables tables_;
    row_writer registration_;
    std::map<std::uint64_t, row_writer> quarantine_writes_; ///< By prompt part.
    std::optional<row_writer> configuration_write_;
    /// Nothing once the recorded suspicions have been read.
    std::unique_ptr<table_reader> suspicions_reader_;
    bool suspicions_read_{false};
    std::optional<row_writer> suspicions_write_;
    std::unique_ptr<duty_runner> duty_; ///< nullptr where the settings have no duty.
    std::map<std::string, endpoint> daemon_addresses_;
    std::string settings_text_;
    time_point next_settings_check_{};
    time_point next_sweep_{};
    time_point next_report_{};
    time_point directory_confirmed_at_{};
    time_point stop_started_at_{never};
};

} // namespace clementinegap
