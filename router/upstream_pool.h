#pragma once

#include "net/http_client_connection.h"
#include "routing/connection_view.h"
#include "routing/upstream_record.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinegap {

using connection_ptr = std::shared_ptr<http_client_connection>;

/// Pool of keep-alive connections to upstreams. Reuses the most recently used one first, so that the others
/// can reach their idle timeout.
class upstream_pool final : public connection_view {
public:
    /// Upstreams that announce no idle timeout do not close idle connections earlier than this in practice.
    static constexpr duration default_idle_limit = seconds(2);

    explicit upstream_pool(event_loop& loop) : loop_(loop) {}

    /// \returns an idle connection or a new one that is still connecting; nullptr if no socket can be opened.
    connection_ptr acquire(const upstream_record& upstream, time_point now);
    /// Returns a connection to the pool after a request. \param idle_timeout announced by the upstream; zero:
    /// none.
    void release(const upstream_record& upstream, connection_ptr connection, duration idle_timeout);
    bool has_idle_connection(const upstream_record& upstream, time_point now) const override;
    /// Closes a connection and defers its destruction to `sweep`: a connection must not be destroyed in its
    /// own callbacks.
    void retire(connection_ptr connection);
    /// Destroys retired connections, fails those whose connect timed out and closes expired idle ones.
    void sweep(time_point now);
    bool has_connecting() const { return !connecting_.empty(); }

private:
    static constexpr duration connect_timeout = milliseconds(300); ///< Many round-trip times within a region.

    struct idle_connection {
        connection_ptr connection;
        duration idle_limit{default_idle_limit};
    };
    struct pending_connect {
        std::weak_ptr<http_client_connection> connection;
        time_point started;
    };
    static std::string key_of(const upstream_record& upstream);
    void drop(const std::string& key, const http_client_connection* connection);

    event_loop& loop_;
    std::map<std::string, std::vector<idle_connection>> idle_;
    std::vector<pending_connect> connecting_;
    std::vector<connection_ptr> retired_;
};

} // namespace clementinegap
