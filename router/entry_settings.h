#pragma once

#include "core/outcome.h"
#include "core/time.h"
#include "routing/engine_speed.h"
#include "routing/placement_rule.h"
#include "routing/upstream_record.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// The settings of an entry daemon that routes straight to upstreams, read from its file: JSON with comments.
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
    std::uint16_t link_mbps{0};      ///< Of this VM; wide links are preferred where others depend on them.
    duration directory_bound{0};     ///< In which a change of the directory must be known everywhere.
    duration configuration_bound{0}; ///< The same for the configuration.
    engine_speed assumed_speed;      ///< Of engines that nothing is known of yet.
    duration longest_pause{minutes(10)}; ///< That an upstream is granted when it asks for none to be sent.
    duration stop_grace{seconds(8)};     ///< From SIGTERM until the process is killed.
};

/// Reads and checks a whole settings text; `invalid_settings` with every fault, one a line.
outcome<entry_settings> entry_settings_from_text(std::string_view text);

/// The content of a settings file.
outcome<std::string> settings_file_text(const std::string& path);

/// Reads a file; a file that cannot be read is a fault like the others.
outcome<entry_settings> entry_settings_from_file(const std::string& path);

} // namespace clementinegap
