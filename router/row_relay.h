#pragma once

#include "net/http_server_connection.h"
#include "net/tcp_connection.h"
#include "routing/table_copy.h"
#include "routing/upstream_record.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace clementinegap {

/// HTTP server for other daemons at this daemon's peer address. Serves the configuration in force, and reads
/// of the tables that this daemon follows, including long polls for changes. Rows are served only while this
/// daemon reads the store itself.
class row_relay final : public http_server_connection::handler {
public:
    /// \returns the text of the configuration; empty when none is in force.
    using configuration_source = std::function<const std::string&()>;

    row_relay(event_loop& loop, configuration_source configuration);
    bool listen(const endpoint& address)
    {
        return listener_.listen(address.ip, address.port, receive_buffer_bytes);
    }
    /// The number of connections; above it those that do not get on are closed.
    void set_connection_limit(std::size_t connections) { peers_.set_limit(connections); }
    std::uint16_t port() const { return listener_.port(); }

    /// Adds rows read by the follower of `table` to the copy and responds to the pending reads of that table.
    void apply(std::string_view table, const table_follower::progress& read);
    /// Sets whether rows are served. When they no longer are, all pending reads fail.
    void set_serving(bool serving);
    /// Responds to reads whose wait has expired and applies connection timeouts.
    void sweep(time_point now);

private:
    static constexpr std::size_t receive_buffer_bytes = std::size_t{4} * 1024;
    /// Enough for the daemons of a zone in the largest supported deployment, with one read for each of three
    /// tables.
    static constexpr std::size_t max_pending_reads = 400;

    struct pending_read {
        http_server_connection* from;
        table_read call;
        time_point deadline;
        bool keep_alive;
    };

    void on_request(http_server_connection& from, http_head head, std::string body) override;
    std::string error_response(int status, std::string_view text) override;
    void on_disconnected(http_server_connection& from) override;
    void on_written(http_server_connection&) override {}

    /// Responds to the matching pending reads that need not wait any longer; the others stay pending.
    /// \param wait_over whether to respond even without a change.
    void respond_to_pending(const std::function<bool(const pending_read&)>& matches, bool wait_over);
    /// Responds unless the read has to wait for a change. \param wait_over whether to respond even without
    /// one. \returns whether a response was sent.
    bool try_respond(http_server_connection& from, const table_read& call, bool keep_alive, bool wait_over);
    static void respond(http_server_connection& from, int status, std::string_view body, bool keep_alive);

    event_loop& loop_;
    configuration_source configuration_;
    peer_connections::group peers_;
    tcp_listener listener_;
    std::list<std::unique_ptr<http_server_connection>> connections_;
    std::map<std::string, table_copy, std::less<>> copies_;
    std::list<pending_read> pending_reads_;
    bool serving_{false};
};

} // namespace clementinegap
