#include "router/entry_process.h"

#include "platform/directory_rows.h"
#include "platform/header_names.h"
#include "router/quarantine_rows.h"
#include "router/suspicion_rows.h"

#include <utility>

/// \file
/// The part of the entry process that reads and writes rows of the platform's store.

namespace clementinegap {
namespace {

/// Key of the recorded configuration in the table of daemons, which every daemon follows.
constexpr std::string_view configuration_record_key = "configuration/in-force";

} // namespace

void entry_process::on_rows(store_tables::table which, table_follower::progress progress)
{
    if (progress.overdue) {
        next_report_ = event_loop::now(); // The others may not know of the change either.
    }
    switch (which) {
    case store_tables::table::configuration:
        on_configuration(std::move(progress));
        return;
    case store_tables::table::directory:
        on_directory(std::move(progress));
        return;
    case store_tables::table::daemons:
        on_daemons(std::move(progress));
        return;
    }
}

void entry_process::on_configuration(table_follower::progress progress)
{
    if (progress.lost || progress.regained) {
        log_.info(progress.lost ? "configuration.store_lost" : "configuration.store_regained", "");
        configuration_record_.on_reachable(progress.regained);
        configuration_write_.reset();
    }
    bool is_stored = !progress.is_snapshot;
    for (const auto& row : progress.changes) {
        if (row.key != platform_names::configuration_key || row.deleted) {
            continue;
        }
        is_stored = true;
        if (const auto version = apply_configuration(row.value, "store")) {
            configuration_record_.on_stored(*version);
        }
    }
    if (!is_stored) {
        configuration_record_.on_stored(0);
    }
}

std::optional<std::uint64_t> entry_process::apply_configuration(const std::string& text,
                                                                std::string_view source)
{
    auto table = decode_configuration(text);
    if (!table) {
        log_.warn("configuration.unreadable", std::string(source) + ": " + table.error().message);
        return std::nullopt;
    }
    const auto version = table.value()->version();
    if (version <= version_in_force()) {
        return version;
    }
    configuration_text_ = text;
    log_.info("configuration.received",
              "version " + std::to_string(version) + " from " + std::string(source));
    gateway_.post(configuration_received{std::move(table.value())});
    return version;
}

std::uint64_t entry_process::version_in_force() const
{
    return router_.table() == nullptr ? 0 : router_.table()->version();
}

void entry_process::record_configuration(time_point now)
{
    const auto version = version_in_force();
    if (!configuration_record_.is_pending(version)) {
        return;
    }
    switch (configuration_record_.due(version, router_.other_members(), now)) {
    case configuration_record::change::none:
        return;
    case configuration_record::change::write:
        log_.info("configuration.recorded", "version " + std::to_string(version) + ", the store's is older");
        configuration_write_.emplace(loop_, settings_.store_address, store_tables::daemons_table,
                                     configuration_record_key, configuration_text_);
        return;
    case configuration_record::change::remove:
        configuration_write_.emplace(loop_, settings_.store_address, store_tables::daemons_table,
                                     configuration_record_key, std::nullopt);
        return;
    }
}

void entry_process::on_directory(table_follower::progress progress)
{
    if (progress.lost) {
        gateway_.post(directory_unreachable{});
    }
    if (progress.regained) {
        gateway_.post(directory_reachable{});
    }
    directory_listed listing;
    listing.restored = progress.restored;
    for (const auto& row : progress.changes) {
        if (row.deleted) {
            gateway_.post(upstream_removed{row.key});
            continue;
        }
        auto record = decode_upstream(row.key, row.value);
        if (!record) {
            log_.warn("directory.unreadable", row.key + ": " + record.error().message);
            continue;
        }
        if (progress.is_snapshot) {
            listing.records.push_back(std::move(record.value()));
        } else {
            gateway_.post(upstream_listed{std::move(record.value())});
        }
    }
    if (progress.is_snapshot) {
        gateway_.post(std::move(listing));
    }
}

void entry_process::on_daemons(table_follower::progress progress)
{
    registration_.on_rows(progress);
    if (progress.is_snapshot) {
        daemon_addresses_.clear();
        configuration_record_.on_recorded(0);
    }
    quarantines_recorded recorded;
    recorded.is_listing = progress.is_snapshot;
    for (const auto& row : progress.changes) {
        if (row.key == configuration_record_key) {
            const auto version = row.deleted ? std::nullopt : apply_configuration(row.value, "record");
            configuration_record_.on_recorded(version.value_or(0));
            continue;
        }
        if (const auto part = part_of_quarantine_row(row.key)) {
            if (last_change(progress.changes, row.key) != &row) {
                continue;
            }
            const auto read = decode_quarantine_row(*part, row.value, event_loop::unix_time_ms());
            if (!row.deleted && read) {
                recorded.parts.push_back(read.value());
                continue;
            }
            if (!row.deleted) {
                log_.warn("quarantine.unreadable", row.key + ": " + read.error().message);
            }
            recorded.removed.push_back(*part);
            continue;
        }
        const auto address = parse_endpoint(row.value);
        if (row.deleted || !address || address->port == 0) {
            daemon_addresses_.erase(row.key);
        } else {
            daemon_addresses_[row.key] = *address;
        }
    }
    if (recorded.is_listing || !recorded.parts.empty() || !recorded.removed.empty()) {
        gateway_.post(std::move(recorded));
    }
    if (progress.changes.empty()) {
        return;
    }
    auto others = daemon_addresses_;
    others.erase(settings_.vm);
    fleet_size_known fleet{others.size() + 1};
    for (const auto& [name, address] : others) {
        fleet.others.push_back(name);
    }
    gateway_.post(std::move(fleet));
    tables_.set_peers(others);
    peers_.set_peers(std::move(others));
}

void entry_process::record_quarantine(std::uint64_t part, const std::optional<quarantined_part>& quarantined)
{
    const auto value = quarantined
                           ? std::optional(encode_quarantine_row(*quarantined, event_loop::unix_time_ms()))
                           : std::nullopt;
    quarantine_writes_.erase(part);
    quarantine_writes_.try_emplace(part, loop_, settings_.store_address, store_tables::daemons_table,
                                   quarantine_row_key(part), value);
}

void entry_process::record_suspicions(std::span<const suspicion> suspicions)
{
    suspicions_write_.emplace(loop_, settings_.store_address, suspicions_table, settings_.vm,
                              encode_suspicions(suspicions, event_loop::unix_time_ms()));
    suspicions_write_->run(event_loop::now());
}

void entry_process::read_suspicions(time_point now)
{
    if (suspicions_read_) {
        suspicions_reader_.reset();
    }
    if (suspicions_reader_) {
        suspicions_reader_->run(now);
    }
}

void entry_process::on_suspicions(const table_follower::progress& progress)
{
    if (!progress.is_snapshot) {
        return;
    }
    suspicions_read_ = true;
    suspicions_listed listing;
    for (const auto& row : progress.changes) {
        auto read = decode_suspicions(row.value, event_loop::unix_time_ms());
        if (!read) {
            log_.warn("suspicions.unreadable", row.key + ": " + read.error().message);
            continue;
        }
        listing.rows.push_back({row.key, std::move(read.value())});
    }
    gateway_.post(std::move(listing));
}

} // namespace clementinegap
