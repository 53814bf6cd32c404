#include "router/upstream_pool.h"

#include <algorithm>

namespace clementinegap {
namespace {

/// Of each connection. What an upstream sends is not read while its caller is behind.
constexpr std::size_t receive_buffer_bytes = std::size_t{64} * 1024;
/// Part of an upstream's idle timeout at the end of which an idle connection is not reused any more. If the
/// upstream closes a connection just as a request is sent, it is unknown whether the request ran.
constexpr duration idle_margin = milliseconds(400);
/// The same for long timeouts, in tenths of them; clocks and schedulers of both sides differ.
constexpr int idle_margin_tenths = 1;
/// Tenths of a timeout that are used however short it is.
constexpr int least_idle_tenths = 6;

duration usable_idle_time(duration timeout)
{
    const auto margin = std::max(idle_margin, timeout * idle_margin_tenths / 10);
    return std::max(timeout * least_idle_tenths / 10, timeout - margin);
}

} // namespace

std::string upstream_pool::key_of(const upstream_record& upstream)
{
    return upstream.id + "@" + to_string(upstream.address);
}

connection_ptr upstream_pool::acquire(const upstream_record& upstream, time_point now)
{
    const auto key = key_of(upstream);
    auto& connections = idle_[key];
    while (!connections.empty()) {
        auto last = std::move(connections.back());
        connections.pop_back();
        if (last.connection->idle() && now - last.connection->idle_since() < last.idle_limit) {
            return last.connection;
        }
        retire(std::move(last.connection));
    }
    auto holder = std::make_shared<std::weak_ptr<http_client_connection>>();
    auto connection = std::make_shared<http_client_connection>(
        loop_, [this, key, holder] { drop(key, holder->lock().get()); });
    *holder = connection;
    if (!connection->connect(upstream.address.ip, upstream.address.port, keepalive_limits{})) {
        return nullptr;
    }
    connection->set_receive_buffer(receive_buffer_bytes);
    connecting_.push_back({connection, now});
    return connection;
}

void upstream_pool::release(const upstream_record& upstream, connection_ptr connection, duration idle_timeout)
{
    const auto limit = idle_timeout > duration::zero() ? usable_idle_time(idle_timeout) : default_idle_limit;
    idle_[key_of(upstream)].push_back({std::move(connection), limit});
}

bool upstream_pool::has_idle_connection(const upstream_record& upstream, time_point now) const
{
    const auto found = idle_.find(key_of(upstream));
    return found != idle_.end() && !found->second.empty() && found->second.back().connection->idle() &&
           now - found->second.back().connection->idle_since() < found->second.back().idle_limit;
}

void upstream_pool::retire(connection_ptr connection)
{
    connection->abandon();
    retired_.push_back(std::move(connection));
}

void upstream_pool::drop(const std::string& key, const http_client_connection* connection)
{
    auto& connections = idle_[key];
    const auto found = std::find_if(connections.begin(), connections.end(), [&](const idle_connection& each) {
        return each.connection.get() == connection;
    });
    if (found != connections.end()) {
        retire(std::move(found->connection));
        connections.erase(found);
    }
}

void upstream_pool::sweep(time_point now)
{
    retired_.clear();
    const auto pending = std::move(connecting_);
    connecting_.clear();
    for (const auto& each : pending) {
        const auto connection = each.connection.lock();
        if (!connection || connection->connected()) {
            continue;
        }
        if (now - each.started >= connect_timeout) {
            connection->connect_timed_out();
        } else {
            connecting_.push_back(each);
        }
    }
    for (auto list = idle_.begin(); list != idle_.end();) {
        auto& connections = list->second;
        std::erase_if(connections, [&](const idle_connection& each) {
            return !each.connection->idle() || now - each.connection->idle_since() >= each.idle_limit;
        });
        list = connections.empty() ? idle_.erase(list) : std::next(list);
    }
}

} // namespace clementinegap
