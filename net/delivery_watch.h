#pragma once

#include "core/time.h"

#include <functional>
#include <set>
#include <uv.h>

namespace clementinegap {

/// Checks connections whose peers have yet to acknowledge bytes, at regular intervals.
class delivery_watch {
public:
    class member {
    public:
        member() = default;
        member(const member&) = delete;
        member& operator=(const member&) = delete;
        virtual ~member() = default;
        /// \param elapsed time since the previous check, without a suspension of this process.
        /// \returns whether it is to be checked again. The member may be destroyed within the call.
        virtual bool check_delivery(duration elapsed) = 0;
        /// Asks the system what it holds of the connection.
        virtual void measure() = 0;
    };

    static constexpr duration interval = milliseconds(500);

    explicit delivery_watch(std::function<time_point()> clock) : clock_(std::move(clock)) {}
    delivery_watch(const delivery_watch&) = delete;
    delivery_watch& operator=(const delivery_watch&) = delete;
    ~delivery_watch() = default;

    void begin(uv_loop_t* loop);
    void add(member& one);
    void remove(member& one);
    /// Measures all members.
    void refresh();

private:
    void check();

    std::function<time_point()> clock_;
    uv_timer_t timer_{};
    std::set<member*> members_;
    time_point checked_at_{};
};

} // namespace clementinegap
