#include "adapters/peer_sockets.h"

#include <sys/ioctl.h>

#include <linux/sockios.h>

#include <utility>

namespace clementinegap {
namespace {

using phase = connection_usage::phase;

constexpr duration progress_interval = milliseconds(500);
/// Bytes that a sender that gets on sends in this interval.
constexpr std::uint64_t substantial_bytes = 256;
/// Part of the ceiling that is given back in addition.
constexpr std::size_t headroom_parts = 8;

std::size_t queued(int socket, unsigned long queue)
{
    int bytes = 0;
    return ioctl(socket, queue, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace

void peer_sockets::opened(int socket, time_point now)
{
    state fresh;
    fresh.progress_at = now;
    closed(socket);
    sockets_[socket] = fresh;
}

void peer_sockets::closed(int socket)
{
    const auto found = sockets_.find(socket);
    if (found == sockets_.end()) {
        return;
    }
    held_ -= found->second.held;
    shut_ -= found->second.is_shut ? 1 : 0;
    sockets_.erase(found);
}

void peer_sockets::shut(int socket)
{
    if (const auto found = sockets_.find(socket); found != sockets_.end()) {
        shut_ += std::exchange(found->second.is_shut, true) ? 0 : 1;
    }
}

void peer_sockets::request_is(int socket, connection_usage::phase phase, time_point now)
{
    if (const auto found = sockets_.find(socket); found != sockets_.end()) {
        found->second.request = phase;
        found->second.progress_at = now;
    }
}

void peer_sockets::received(int socket, std::size_t bytes)
{
    if (const auto found = sockets_.find(socket); found != sockets_.end()) {
        found->second.received += bytes;
    }
}

void peer_sockets::set_held(int socket, std::size_t bytes)
{
    if (const auto found = sockets_.find(socket); found != sockets_.end()) {
        held_ = held_ - found->second.held + bytes;
        found->second.held = bytes;
    }
}

void peer_sockets::measure(time_point now)
{
    const bool is_progress_due = now >= progress_due_;
    if (is_progress_due) {
        progress_due_ = now + progress_interval;
    }
    for (auto& [socket, each] : sockets_) {
        const auto unsent = queued(socket, SIOCOUTQ);
        if (std::exchange(each.unsent, unsent) > unsent) {
            each.progress_at = now;
        }
        each.unread = queued(socket, SIOCINQ);
        if (is_progress_due &&
            each.received - std::exchange(each.noted, each.received) >= substantial_bytes) {
            each.progress_at = now;
        }
    }
}

connection_usage peer_sockets::usage(const state& each, time_point now) const
{
    const bool has_unsent = each.unsent > 0 && each.request != phase::receiving;
    return {has_unsent ? phase::responding : each.request, each.held + each.unsent + each.unread,
            now - each.progress_at};
}

std::vector<int> peer_sockets::to_shed(time_point now) const
{
    std::size_t total = 0;
    std::vector<int> sockets;
    std::vector<connection_usage> usages;
    for (const auto& [socket, each] : sockets_) {
        if (!each.is_shut) {
            sockets.push_back(socket);
            usages.push_back(usage(each, now));
            total += usages.back().bytes;
        }
    }
    std::vector<int> result;
    if (total <= limits_.ceiling) {
        return result;
    }
    const auto target = limits_.ceiling - limits_.ceiling / headroom_parts;
    for (const auto each : connections_to_shed(usages, total - target)) {
        result.push_back(sockets[each]);
    }
    return result;
}

int peer_sockets::to_replace(time_point now) const
{
    std::vector<int> sockets;
    std::vector<connection_usage> usages;
    for (const auto& [socket, each] : sockets_) {
        if (!each.is_shut) {
            sockets.push_back(socket);
            usages.push_back(usage(each, now));
        }
    }
    const auto order = connections_to_replace(usages);
    return order.empty() ? -1 : sockets[order.front()];
}

connection_usage::phase peer_sockets::phase(int socket) const
{
    const auto found = sockets_.find(socket);
    return found == sockets_.end() ? connection_usage::phase::closing : found->second.request;
}

} // namespace clementinegap
