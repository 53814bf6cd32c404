#pragma once

#include "core/time.h"
#include "net/byte_budget.h"
#include "net/delivery_watch.h"
#include "net/peer_connections.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <uv.h>
#include <vector>

namespace clementinegap {

/// Something that queues output while a batch of input is handled.
class batched_output {
public:
    batched_output() = default;
    batched_output(const batched_output&) = delete;
    batched_output& operator=(const batched_output&) = delete;
    virtual ~batched_output() = default;
    /// The batch has ended.
    virtual void flush() = 0;
};

/// Something that goes on with its input in the next iteration of the loop.
class deferred_work {
public:
    deferred_work() = default;
    deferred_work(const deferred_work&) = delete;
    deferred_work& operator=(const deferred_work&) = delete;
    virtual ~deferred_work() = default;
    virtual void go_on() = 0;
};

/// The event loop of the process, based on libuv: sockets, one timer and signals.
class event_loop {
public:
    /// While one exists, output is queued instead of being written at once. A peer that sends many small
    /// pieces would otherwise cause a system call for each of them.
    class input_batch {
    public:
        explicit input_batch(event_loop& loop) : loop_(loop) { ++loop_.open_batches_; }
        input_batch(const input_batch&) = delete;
        input_batch& operator=(const input_batch&) = delete;
        ~input_batch() { loop_.end_batch(); }

    private:
        event_loop& loop_;
    };

    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /// Time since boot. It includes time in suspension, so ages stay correct across a suspension.
    static time_point now();
    /// Time of day of this VM in milliseconds since the Unix epoch. It may be set at any moment.
    static std::int64_t unix_time_ms();

    /// Calls `action` each time the process receives `signal_number`.
    void on_signal(int signal_number, std::function<void()> action);
    /// Calls `action` once, at or shortly after `at`. Replaces the previous wake-up.
    void wake_at(time_point at, std::function<void()> action);

    void run();
    void stop() { uv_stop(&loop_); }

    uv_loop_t* native() { return &loop_; }
    /// Buffer shared by all reads; its contents are valid until the next read. Small while the budget for
    /// buffered bytes is used up.
    uv_buf_t read_buffer();
    /// The bytes that the connections of this loop hold.
    byte_budget& buffers() { return buffers_; }
    bool is_in_batch() const { return open_batches_ > 0; }
    void flush_after_batch(batched_output& output) { batched_.push_back(&output); }
    /// The output will not be written any more.
    void forget(batched_output& output);
    /// Calls `go_on` once, in the next iteration of the loop, so that other connections have their turn
    /// before.
    void defer(deferred_work& work);
    void forget(deferred_work& work) { std::erase(deferred_, &work); }
    /// The connections whose peers have yet to acknowledge bytes.
    delivery_watch& deliveries() { return deliveries_; }
    /// The connections that peers have opened.
    peer_connections& peers() { return peers_; }
    /// Closes connections of peers if they hold more than the process may; to be called after input was
    /// handled.
    void limit_peers()
    {
        if (buffers_.is_above_ceiling()) {
            peers_.keep_within_ceiling(now());
        }
    }

private:
    static constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

    struct signal_watch {
        uv_signal_t handle{};
        std::function<void()> action;
    };

    void end_batch();
    void run_deferred();

    byte_budget buffers_;
    delivery_watch deliveries_{&event_loop::now};
    peer_connections peers_{buffers_, deliveries_};
    int open_batches_{0};
    std::vector<batched_output*> batched_;
    std::vector<deferred_work*> deferred_;
    uv_idle_t idle_{}; ///< Active while work is deferred.
    uv_loop_t loop_{};
    uv_timer_t timer_{};
    std::function<void()> wake_action_;
    time_point wake_at_{never};
    std::map<int, std::unique_ptr<signal_watch>> signals_;
    std::unique_ptr<std::array<char, read_buffer_bytes>> read_memory_;
};

} // namespace clementinegap
