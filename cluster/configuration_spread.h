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

/// How one daemon gets from the configuration that it has to the newest that it hears of. The text comes from
/// the neighbour that offers it, or from the table; it is taken only if it is newer, whole and hashes to what
/// it says, so no order of messages and no damaged copy makes a daemon step back.
class configuration_spread {
public:
    /// Where to ask for a newer text.
    struct request {
        std::string address; ///< Empty: the table.
        std::uint64_t version{0};
    };

    /// A peer offers what it has.
    void offered(const std::string& address, const configuration_head& head);
    /// The table's head row was read.
    void listed(const configuration_head& head);
    /// A peer is gone; nothing is asked of it any more.
    void lost(const std::string& address);

    /// What to ask for now, if anything; one request is open at a time, and after its timeout another
    /// source is asked.
    std::optional<request> next_request(time_point now);
    time_point next_due() const { return open_ ? open_until_ : never; }

    enum class verdict : std::uint8_t { applied, not_newer, damaged };
    /// A text arrived from `address`; on `applied`, `current()` is the new configuration.
    verdict take(const std::string& address, const std::string& text);

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
    std::optional<request> open_;
    time_point open_until_;
};

} // namespace clementinegap
