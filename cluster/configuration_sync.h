#pragma once

#include "config/configuration.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace clementinegap {

/// Version and hash of a configuration, as the table's head row and neighbours' heartbeats carry them.
struct configuration_head {
    std::uint64_t version{0};
    std::string hash;
    bool operator==(const configuration_head&) const = default;
};

/// Updates one daemon's configuration to the newest known version. The text is fetched from a peer that
/// offers it or from the table. It is applied only if it is newer, valid and matches the offered hash, so
/// neither reordered messages nor a damaged copy can make a daemon return to an older version.
class configuration_sync {
public:
    /// A request for a newer configuration text.
    struct request {
        std::string address; ///< Empty: the table.
        std::uint64_t version{0};
    };

    /// Records the configuration head that a peer has.
    void offer_received(const std::string& address, const configuration_head& head);
    /// Records the table's head row.
    void table_head_read(const configuration_head& head);
    /// Drops the offer of a disconnected peer.
    void peer_disconnected(const std::string& address);

    /// \returns the request to send now, if any. One request is pending at a time; after its timeout another
    /// source is tried.
    std::optional<request> next_request(time_point now);
    time_point next_due() const { return pending_ ? pending_until_ : never; }

    enum class apply_result : std::uint8_t { applied, not_newer, damaged };
    /// A text arrived from `address`; on `applied`, `current()` is the new configuration.
    apply_result apply(const std::string& address, const std::string& text);

    const configuration_ptr& current() const { return current_; }
    const configuration_head& head() const { return head_; }
    const std::string& text() const { return text_; }
    bool is_behind() const;

private:
    static constexpr duration request_timeout = seconds(1);

    configuration_ptr current_;
    configuration_head head_;
    std::string text_;
    std::map<std::string, configuration_head> offers_; ///< The table's under an empty address.
    std::map<std::string, int> failures_;
    std::optional<request> pending_;
    time_point pending_until_;
};

} // namespace clementinegap
