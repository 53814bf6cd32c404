#pragma once

#include "request/upstream_events.h"

namespace clementinegap {

/// The model engine or plain service beside an upstream daemon. Answers come as engine events.
class engine_port {
public:
    engine_port() = default;
    engine_port(const engine_port&) = delete;
    engine_port& operator=(const engine_port&) = delete;
    virtual ~engine_port() = default;

    virtual void start(const engine_start& run) = 0;
    virtual void cancel(run_id run) = 0;
    virtual void stop_reading(run_id run) = 0;
    virtual void resume_reading(run_id run) = 0;
    /// Sets a run aside at the engine, freeing its slot there, and goes on with it.
    virtual void pause(run_id run) = 0;
    virtual void resume(run_id run) = 0;
};

} // namespace clementinegap
