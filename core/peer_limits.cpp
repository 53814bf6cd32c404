#include "core/peer_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <limits>

namespace clementinegap {
namespace {

constexpr std::size_t megabyte = std::size_t{1} << 20U;
/// What the connections of callers take of the ceiling, about; all together no more than half of it.
constexpr std::size_t bytes_per_connection = std::size_t{4} * 1024;

/// The part of the memory that is for buffers, if that is not limited otherwise.
std::size_t memory_part(const peer_limit_settings& settings, const machine_limits& machine)
{
    constexpr std::size_t parts_of_memory = 8;
    return settings.buffer_mb > 0 ? settings.buffer_mb * megabyte : machine.memory_bytes / parts_of_memory;
}

std::size_t buffer_bytes(const peer_limit_settings& settings, const machine_limits& machine)
{
    constexpr std::size_t smallest_default = 4 * megabyte;
    constexpr std::size_t largest_default = 24 * megabyte;
    const auto part = memory_part(settings, machine);
    return settings.buffer_mb > 0 ? part : std::clamp(part, smallest_default, largest_default);
}

std::size_t caller_connections(const peer_limit_settings& settings, const machine_limits& machine,
                               std::size_t by_descriptors, std::size_t ceiling)
{
    if (settings.caller_connections > 0) {
        return settings.caller_connections;
    }
    const auto by_memory = settings.uncounted_connection_bytes > 0
                               ? memory_part(settings, machine) / settings.uncounted_connection_bytes
                               : ceiling / 2 / bytes_per_connection;
    return std::min(by_descriptors, by_memory);
}

} // namespace

machine_limits limits_of_machine()
{
    constexpr auto unlimited = std::numeric_limits<std::size_t>::max();
    machine_limits result{unlimited, unlimited};
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long page_bytes = sysconf(_SC_PAGESIZE);
    if (pages > 0 && page_bytes > 0) {
        result.memory_bytes = static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
    }
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY) {
        result.descriptors = descriptors.rlim_cur;
    }
    return result;
}

peer_limits limits_of_peers(const peer_limit_settings& settings, const machine_limits& machine)
{
    constexpr std::size_t parts = 32;
    constexpr std::size_t caller_parts = 13;
    constexpr std::size_t daemon_parts = 2;
    const auto part = machine.descriptors / parts;
    peer_limits result;
    result.buffer_bytes = buffer_bytes(settings, machine);
    result.ceiling_bytes = result.buffer_bytes + result.buffer_bytes / 2;
    result.caller_connections =
        caller_connections(settings, machine, caller_parts * part, result.ceiling_bytes);
    result.daemon_connections = daemon_parts * part;
    result.probe_connections = part;
    return result;
}

} // namespace clementinegap
