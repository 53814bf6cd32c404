#pragma once

#include "core/connection_shedding.h"
#include "core/time.h"
#include "net/byte_budget.h"
#include "net/delivery_watch.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace clementinegap {

/// The connections that peers have opened to this process. Keeps their number and what they hold within
/// limits by closing those that hold much and do not get on.
class peer_connections {
public:
    /// One connection; a member while it is open.
    class member {
    public:
        member() = default;
        member(const member&) = delete;
        member& operator=(const member&) = delete;
        virtual ~member() = default;
        virtual connection_usage usage(time_point now) const = 0;
        /// Notes whether its peer sent or took a substantial part since the previous call.
        virtual void note_progress(time_point now) = 0;
        /// Refuses the request that is being received, or closes the connection. It must not be destroyed
        /// within the call.
        virtual void shed() = 0;
        /// Closes the connection at once, so that another one can have its descriptor. The same holds.
        virtual void replace() = 0;
    };

    /// The connections to one address.
    class group {
    public:
        explicit group(peer_connections& all) : all_(all) {}
        group(const group&) = delete;
        group& operator=(const group&) = delete;
        ~group() = default;

        void set_limit(std::size_t connections) { limit_ = connections; }
        std::size_t size() const { return members_.size(); }
        /// Closes a connection if there is no room for another one. \returns whether there is room now.
        bool make_room(time_point now);
        void add(member& one);
        void remove(member& one);

    private:
        void find_replaceable(time_point now);

        /// How long the order of the connections to replace is used, which takes time to find.
        static constexpr duration order_validity = milliseconds(100);

        peer_connections& all_;
        std::vector<member*> members_;
        std::vector<member*> replaceable_; ///< Of the time `ordered_at_`, the next one last.
        time_point ordered_at_{};
        bool had_replaceable_{false};
        std::size_t limit_{std::numeric_limits<std::size_t>::max()};
    };

    peer_connections(byte_budget& budget, delivery_watch& deliveries)
        : budget_(budget), deliveries_(deliveries)
    {
    }
    peer_connections(const peer_connections&) = delete;
    peer_connections& operator=(const peer_connections&) = delete;
    ~peer_connections() = default;

    /// Closes connections while the ceiling of the budget is exceeded.
    void keep_within_ceiling(time_point now);
    /// The same, after the progress of each connection was noted; to be called several times a second.
    void check(time_point now);
    /// Connections that were closed for room or memory.
    std::uint64_t shed_count() const { return shed_count_; }

private:
    static constexpr duration progress_interval = milliseconds(500);
    /// Part of the ceiling that is given back in addition, so that the next byte does not close another one.
    static constexpr std::size_t headroom_parts = 8;

    byte_budget& budget_;
    delivery_watch& deliveries_;
    std::vector<member*> members_;
    time_point progress_due_{};
    std::uint64_t shed_count_{0};
    bool is_shedding_{false};
};

} // namespace clementinegap
