#pragma once

#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

enum class daemon_role : std::uint8_t { entry, upstream };

/// The settings of one daemon process, read from its file.
struct settings {
    daemon_role role{daemon_role::entry};
    std::string vm;
    std::string zone;
    std::string region;
    std::string log_level{"info"};

    std::string admin_address{"127.0.0.1"};
    std::uint16_t admin_port{0};

    std::string platform_url;
    duration platform_timeout{seconds(2)};
    duration platform_poll{milliseconds(200)}; ///< The least time between two reads of one daemon.

    std::string peer_address;            ///< "IP:port" of the peer protocol.
    std::vector<std::string> peer_seeds; ///< Addresses to dial while no other daemon is known.
    std::size_t upstreams_per_model{16}; ///< Upstreams that an entry daemon keeps connections to.
    std::string peer_ca_file;            ///< Empty with `plain_text`.
    std::string peer_certificate_file;
    std::string peer_key_file;

    std::size_t ring_capacity{65536};
    std::size_t timeline_capacity{20000};
    duration drain_timeout{seconds(600)};

    // Entry role.
    std::string caller_address{"127.0.0.1"};
    std::uint16_t caller_port{0};
    std::string caller_certificate_file;
    std::string caller_key_file;
    std::size_t max_body_bytes{4U << 20U};
    duration receive_timeout{seconds(10)};
    std::size_t max_requests{4096};
    std::size_t buffer_limit_mb{0};  ///< Of requests and answers; 0: by the memory of the VM.
    std::size_t connection_limit{0}; ///< Of callers' connections; 0: by the descriptors of the process.
    bool naive{false};               ///< The baseline policies, for comparison.

    // Upstream role.
    std::string engine_url;
    std::vector<std::string> models;
    std::uint32_t slots{8};
    std::size_t max_queue{1024};
};

/// Reads and checks a whole settings text; `invalid_settings` with every fault, one a line.
outcome<settings> settings_from_text(std::string_view text);

/// Reads a file; a file that cannot be read is a fault like the others.
outcome<settings> settings_from_file(const std::string& path);

/// The content of a file, or what was wrong.
outcome<std::string> read_file(const std::string& path);

} // namespace clementinegap
