#pragma once

#include "net/udp_socket.h"
#include "router/report_codec.h"
#include "routing/report_fanout.h"
#include "routing/upstream_record.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace clementinegap {

/// Exchanges load reports with the other entry daemons by datagrams. Nothing rests on their arrival.
class peer_link {
public:
    /// \param zone of this daemon, as its reports have it.
    peer_link(event_loop& loop, std::uint32_t zone, std::function<void(load_reported)> on_report,
              std::function<void(std::string)> on_bad);

    bool bind(const endpoint& address) { return socket_.bind(address.ip, address.port); }
    /// The other daemons' addresses by name.
    void set_peers(std::map<std::string, endpoint> peers);
    /// Remembers soft state for the next reports.
    void spread(soft_state_item item);
    /// When the next report is due, so that a daemon's datagrams stay bounded however many peers there are.
    duration interval() const;
    void send(const load_report& report);

private:
    /// A report is the base of every choice for an interval, so it must be well below an answer's time.
    static constexpr duration shortest_interval = milliseconds(100);
    /// Datagrams that a daemon sends a second at most.
    static constexpr std::size_t most_datagrams_per_second = 150;
    /// Reports that repeat an item of soft state, since each may be lost.
    static constexpr int item_repeats = 5;

    /// Reports of a daemon in which it must be heard again to count as alive.
    static constexpr int heard_intervals = 5;
    static constexpr duration shortest_heard = seconds(1);

    /// The first byte of a datagram.
    enum class journey : char {
        ends = 'e',     ///< It goes no further.
        passed_on = 'p' ///< The receiver passes it on within its zone.
    };

    void on_datagram(std::string_view bytes);
    void send_to(const std::string& daemon, journey how, std::string_view report);

    struct repeated {
        soft_state_item item;
        int left{item_repeats};
    };
    udp_socket socket_;
    std::function<void(load_reported)> on_report_;
    std::function<void(std::string)> on_bad_;
    std::map<std::string, endpoint> peers_;
    report_fanout fanout_;
    std::vector<repeated> items_;
};

} // namespace clementinegap
