#pragma once

#include "request/upstream_events.h"

namespace clementinegap {

/// The model engine or plain service next to an upstream daemon. Results are reported as engine events.
class engine_port {
public:
    engine_port() = default;
    engine_port(const engine_port&) = delete;
    engine_port& operator=(const engine_port&) = delete;
    virtual ~engine_port() = default;

    virtual void start(const engine_start& run) = 0;
    virtual void cancel(run_id run) = 0;
    /// Stops reading the run's response, for backpressure, until `resume_reading`.
    virtual void stop_reading(run_id run) = 0;
    virtual void resume_reading(run_id run) = 0;
    /// Pauses a run at the engine, which frees its slot there, until `resume`.
    virtual void pause(run_id run) = 0;
    virtual void resume(run_id run) = 0;
};

} // namespace clementinegap
