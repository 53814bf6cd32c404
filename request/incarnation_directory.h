#pragma once

#include "core/soft_state.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace clementinegap {

/// The soft item by which an upstream daemon publishes its incarnation.
soft_state_item incarnation_item(const std::string& vm, std::uint64_t incarnation);

/// The incarnations of upstream daemons, from soft state. A run record whose owner has another
/// incarnation by now belongs to a daemon that died: its outcome will not come. An item that is late costs a
/// resend its attachment to a live run; the caller is then still told correctly: `ran: unknown`.
class incarnation_directory {
public:
    static constexpr std::size_t max_owners = 4096;

    void on_item(const soft_state_item& item);
    /// Whether the daemon is known to have another incarnation than this one.
    bool has_restarted(std::string_view vm, std::uint64_t incarnation) const;

private:
    std::map<std::string, std::uint64_t, std::less<>> incarnations_;
};

} // namespace clementinegap
