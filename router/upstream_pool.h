#pragma once

#include "net/http_client_connection.h"
#include "routing/upstream_record.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinegap {

using connection_ptr = std::shared_ptr<http_client_connection>;

/// Kept connections to upstreams. The one used last is used next, so that the others can close.
class upstream_pool {
public:
    /// An upstream that tells no idle time-out closes no earlier than this in practice.
    static constexpr duration default_idle_limit = seconds(2);

    explicit upstream_pool(event_loop& loop) : loop_(loop) {}

    /// A kept connection, or a new one that is being made; nullptr when none can be made.
    connection_ptr take(const upstream_record& upstream, time_point now);
    /// Keeps a connection after an exchange. \param idle_timeout what the upstream told; zero: nothing.
    void give_back(const upstream_record& upstream, connection_ptr connection, duration idle_timeout);
    /// Takes the place of destroying a connection inside one of its own callbacks.
    void retire(connection_ptr connection);
    /// Destroys what was retired, gives up connections that were not made in time, closes old idle ones.
    void sweep(time_point now);
    bool has_connecting() const { return !connecting_.empty(); }

private:
    static constexpr duration connect_timeout = milliseconds(300); ///< Many round trips within a region.

    struct kept {
        connection_ptr connection;
        duration idle_limit{default_idle_limit};
    };
    struct attempt {
        std::weak_ptr<http_client_connection> connection;
        time_point started;
    };
    static std::string key_of(const upstream_record& upstream);
    void drop(const std::string& key, const http_client_connection* connection);

    event_loop& loop_;
    std::map<std::string, std::vector<kept>> idle_;
    std::vector<attempt> connecting_;
    std::vector<connection_ptr> retired_;
};

} // namespace clementinegap
