#pragma once

#include "net/udp_socket.h"
#include "router/report_codec.h"
#include "router/stream_message_codec.h"
#include "routing/report_admission.h"
#include "routing/report_fanout.h"
#include "routing/upstream_record.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// Exchanges load reports and messages about streams with the other entry daemons by UDP. Correctness does
/// not depend on their delivery.
class peer_link {
public:
    /// \param zone number of this daemon's zone, as in its reports.
    /// \param on_malformed called with the reason when a datagram cannot be decoded.
    peer_link(event_loop& loop, std::uint32_t zone, std::function<void(load_reported)> on_report,
              std::function<void(stream_message_received)> on_stream_message,
              std::function<void(std::string)> on_malformed);

    bool bind(const endpoint& address) { return socket_.bind(address.ip, address.port); }
    /// The other daemons' addresses by name.
    void set_peers(std::map<std::string, endpoint> peers);
    /// Adds an item of soft state to the next reports, in place of an older one with the same key.
    void publish(soft_state_item item);
    /// Time between reports. It grows with the number of peers, which limits the rate of sent datagrams.
    duration interval() const;
    void send(const load_report& report);
    /// \param daemon name of this daemon.
    void send(std::string_view daemon, const send_stream_message& message);

private:
    /// Routing decisions use a report for a whole interval, so the interval must be well below the time that
    /// an upstream takes to respond.
    static constexpr duration min_interval = milliseconds(100);
    /// Of UDP over IPv4.
    static constexpr std::size_t max_datagram_bytes = 65507;
    /// Limit on the datagrams that a daemon sends per second.
    static constexpr std::size_t max_datagrams_per_second = 150;
    /// An item of soft state is repeated in this many reports, because any datagram may be lost.
    static constexpr int sends_per_item = 5;

    /// A daemon counts as alive for this many of its report intervals after a report.
    static constexpr int liveness_intervals = 5;
    static constexpr duration min_liveness_timeout = seconds(1);

    /// Whether the receiver forwards the report; the first byte of a datagram.
    enum class forwarding : char {
        none = 'e',       ///< The receiver does not forward it.
        within_zone = 'p' ///< The receiver forwards it to the daemons of its zone.
    };
    /// The first byte of a datagram with a stream message, which is not forwarded.
    static constexpr char stream_message_mark = 's';

    /// The report without usage counts if it does not fit into a datagram with them.
    std::string encode(const load_report& report);
    void on_datagram(std::string_view bytes);
    void on_stream_datagram(std::string_view bytes);
    void send_to(const std::string& daemon, char mark, std::string_view content);

    struct pending_item {
        soft_state_item item;
        int remaining_sends{sends_per_item};
    };
    udp_socket socket_;
    std::function<void(load_reported)> on_report_;
    std::function<void(stream_message_received)> on_stream_message_;
    std::function<void(std::string)> on_malformed_;
    std::map<std::string, endpoint> peers_;
    report_admission admission_;
    report_fanout fanout_;
    std::vector<pending_item> pending_items_;
    bool leaves_usage_out_{false}; ///< Of the last report, for lack of room.
};

} // namespace clementinegap
