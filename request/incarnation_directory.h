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
/// incarnation by now belongs to a daemon that crashed: its outcome will not come. If an item is late, a
/// resend may not be attached to a live run, but it is still reported correctly, as `ran: unknown`.
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
