#pragma once

#include "adapters/http_client.h"
#include "ports/engine_port.h"
#include "ports/peer_port.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace clementinegap {

/// Runs requests at the model engine or plain service over HTTP.
class engine_gateway : public engine_port {
public:
    /// `base_url` is the engine's, such as "http://127.0.0.1:9000".
    engine_gateway(std::string base_url, upstream_event_sink sink);

    void start(const engine_start& run) override;
    void cancel(run_id run) override;
    void stop_reading(run_id run) override;
    void resume_reading(run_id run) override;
    void pause(run_id run) override;
    void resume(run_id run) override;

private:
    http_call call_of(const engine_start& run) const;
    /// What is known of a run under way.
    struct run_entry {
        http_call_id call{0};
        std::string engine_request;
    };
    run_entry entry_of(run_id run);
    void steer(run_id run, const std::string& verb);
    void tell(upstream_event event);

    std::string base_url_;
    upstream_event_sink sink_;
    std::mutex mutex_;
    std::unordered_map<run_id, run_entry> calls_;
    http_client client_;
};

} // namespace clementinegap
