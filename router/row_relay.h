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

/// Answers other daemons at this daemon's peer address: reads of the tables that it follows, which may wait
/// for a change, and the configuration in force. It gives rows only while it reads the store itself.
class row_relay final : public http_server_connection::handler {
public:
    /// \returns the configuration's text; empty when none is in force.
    using configuration_source = std::function<const std::string&()>;

    row_relay(event_loop& loop, configuration_source configuration);
    bool listen(const endpoint& address) { return listener_.listen(address.ip, address.port); }
    std::uint16_t port() const { return listener_.port(); }

    /// What the follower of `table` has read. Answers the calls that waited for it.
    void apply(std::string_view table, const table_follower::progress& read);
    /// Whether rows are given from now on; calls that wait are told when they are not.
    void serve(bool serves);
    /// Answers calls that have waited long enough.
    void sweep(time_point now);

private:
    /// Daemons of a zone at the letter's size, with a call for each of three tables.
    static constexpr std::size_t most_waiting = 400;

    struct waiting_call {
        http_server_connection* from;
        table_read call;
        time_point until;
        bool keep_alive;
    };

    void on_request(http_server_connection& from, http_head head, std::string body) override;
    std::string error_response(int status, std::string_view text) override;
    void on_disconnected(http_server_connection& from) override;
    void on_written(http_server_connection&) override {}

    /// Answers those of the waiting calls that can be answered now.
    void answer_waiting(const std::function<bool(const waiting_call&)>& concerned, bool waited);
    /// Whether the call could be answered now. \param waited it waits no longer for a change.
    bool try_answer(http_server_connection& from, const table_read& call, bool keep_alive, bool waited);
    static void answer(http_server_connection& from, int status, std::string_view body, bool keep_alive);

    event_loop& loop_;
    configuration_source configuration_;
    tcp_listener listener_;
    std::list<std::unique_ptr<http_server_connection>> connections_;
    std::map<std::string, table_copy, std::less<>> copies_;
    std::list<waiting_call> waiting_;
    bool serves_{false};
};

} // namespace clementinegap
