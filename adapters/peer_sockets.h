#pragma once

#include "core/connection_shedding.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace clementinegap {

/// The connections that peers have opened to an HTTP server: how much each of them holds in the process and
/// in the system, and which ones to close for room or memory. Not synchronized.
class peer_sockets {
public:
    /// What a request may hold in any case. Most requests are smaller.
    static constexpr std::size_t small_share = std::size_t{16} * 1024;

    struct limits {
        std::size_t connections{0};
        std::size_t buffered{0}; ///< Bytes that requests hold.
        std::size_t ceiling{0};  ///< The same with what the system holds.
    };

    explicit peer_sockets(const limits& values) : limits_(values) {}

    void opened(int socket, time_point now);
    void closed(int socket);
    /// A request is being received, is handled, or has ended (`idle`).
    void request_is(int socket, connection_usage::phase phase, time_point now);
    void received(int socket, std::size_t bytes);
    /// The bytes that the request or its answer take in the process.
    void set_held(int socket, std::size_t bytes);
    /// Whether a request that holds `bytes` after it has grown may do so. \param more of them are not counted
    /// yet.
    bool may_hold(std::size_t bytes, std::size_t more) const
    {
        return bytes <= small_share || held_ + more <= limits_.buffered;
    }
    /// Asks the system what it holds and notes who gets on; to be called several times a second.
    void measure(time_point now);
    /// The sockets to close for memory, after `measure`.
    std::vector<int> to_shed(time_point now) const;
    /// Whether there are more connections than may be.
    bool is_over_full() const { return sockets_.size() - shut_ > limits_.connections; }
    /// The socket to close for another connection; -1 if there is none that may be closed.
    int to_replace(time_point now) const;
    /// The socket was shut down and will be closed soon.
    void shut(int socket);
    connection_usage::phase phase(int socket) const;

private:
    struct state {
        connection_usage::phase request{connection_usage::phase::idle};
        std::size_t held{0};
        std::size_t unsent{0}; ///< In the system's send queue.
        std::size_t unread{0}; ///< In the system's receive queue.
        bool is_shut{false};
        std::uint64_t received{0};
        std::uint64_t noted{0}; ///< Of `received`, at the last progress check.
        time_point progress_at;
    };

    connection_usage usage(const state& each, time_point now) const;

    limits limits_;
    std::map<int, state> sockets_;
    std::size_t held_{0};
    std::size_t shut_{0}; ///< Sockets that were shut down.
    time_point progress_due_{};
};

} // namespace clementinegap
