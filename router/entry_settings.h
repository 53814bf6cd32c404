#pragma once

#include "core/outcome.h"
#include "core/time.h"
#include "routing/engine_speed.h"
#include "routing/placement_rule.h"
#include "routing/upstream_record.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Settings of the duties that one daemon at a time performs for the fleet.
struct duty_settings {
    endpoint service;               ///< The platform's own service.
    std::vector<std::string> names; ///< The duties that the fleet is to perform.
    duration usage_window{0};       ///< Length of a window of the usage reports.
    duration usage_late{0};         ///< Time after the end of a window until its report is due.
    duration lease_term{0};
    double calls_per_second{0}; ///< That the service accepts from all daemons together.
};

/// Settings of an entry daemon that routes directly to upstreams, read from a file of JSON with comments.
struct entry_settings {
    std::string vm;
    std::string zone;
    std::string log_level{"info"};
    endpoint caller_address;
    endpoint readiness_address;
    endpoint peer_address;
    std::string metrics_path{"/metrics"};
    endpoint store_address;
    double retry_ratio{0.2};
    duration retry_window{seconds(10)};
    double retry_slack{0};
    placement_rule placement{prompt_affinity{}};
    std::uint16_t link_mbps{0};      ///< Bandwidth of this VM; daemons with the widest links become relays.
    duration directory_bound{0};     ///< Within which a directory change must reach every daemon.
    duration configuration_bound{0}; ///< Within which a new configuration must reach every daemon.
    engine_speed assumed_speed;      ///< Speed of engines without measurements yet.
    duration longest_pause{minutes(10)}; ///< Longest Retry-After of an upstream that is honoured.
    duration stop_grace{seconds(8)};     ///< From SIGTERM until the process is killed.
    std::size_t buffer_limit_mb{0};      ///< Of requests and responses; 0: by the memory of the VM.
    std::size_t connection_limit{0};     ///< Of callers' connections; 0: by the descriptors of the process.
    std::optional<duty_settings> duties; ///< Nothing unless all settings of duties are there.
};

/// Parses and validates a settings text. \returns `invalid_settings` with every fault, one per line, if any.
outcome<entry_settings> entry_settings_from_text(std::string_view text);

/// The content of a settings file; `invalid_settings` if it cannot be read.
outcome<std::string> settings_file_text(const std::string& path);

/// Reads, parses and validates a file; `invalid_settings` also if it cannot be read.
outcome<entry_settings> entry_settings_from_file(const std::string& path);

} // namespace clementinegap
