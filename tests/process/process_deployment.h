#pragma once

#include "adapters/caller_gateway.h"
#include "adapters/decision_thread.h"
#include "adapters/engine_gateway.h"
#include "adapters/peer_client.h"
#include "adapters/peer_server.h"
#include "request/entry_core.h"
#include "request/upstream_core.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace clementinegap {

/// One entry and one upstream daemon's cores with their real adapters in this process, on free ports of
/// 127.0.0.1. Its configuration has the class "chat" for /v1 and the workspace key "test-key".
class process_deployment {
public:
    explicit process_deployment(const std::string& engine_url, std::size_t max_body = 65536,
                                duration receive_timeout = seconds(30));
    process_deployment(const process_deployment&) = delete;
    process_deployment& operator=(const process_deployment&) = delete;
    ~process_deployment();

    std::uint16_t port() const { return callers_.port(); }
    std::size_t open_requests() const { return open_requests_; }
    std::size_t busy_slots() const { return busy_slots_; }

private:
    void perform(const entry_action& action);
    void perform(const upstream_action& action);

    decision_thread<entry_core, entry_event, entry_action> entry_;
    decision_thread<upstream_core, upstream_event, upstream_action> upstream_;
    caller_gateway callers_;
    engine_gateway engine_;
    hybrid_clock upstream_clock_;
    hybrid_clock entry_clock_;
    std::unique_ptr<peer_server> server_;
    std::unique_ptr<peer_client> client_;
    std::atomic<std::size_t> open_requests_{0};
    std::atomic<std::size_t> busy_slots_{0};
};

/// Waits for what must come about in the end; false after 20 s, as a safety net only.
template <class Condition> bool eventually(Condition&& condition)
{
    constexpr auto safety_net = std::chrono::seconds(20);
    const auto give_up = std::chrono::steady_clock::now() + safety_net;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > give_up) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace clementinegap
