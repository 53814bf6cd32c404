#pragma once

#include "core/timer_service.h"
#include "request/upstream_attempt.h"
#include "request/upstream_events.h"
#include "request/upstream_settings.h"

#include <memory>
#include <string_view>
#include <vector>

namespace clementinegap {

using upstream_attempt_ptr = std::shared_ptr<upstream_attempt>;

/// What the parts of an upstream core share: settings, time, the configuration and the list of actions that
/// the present event has led to.
struct upstream_context {
    explicit upstream_context(upstream_settings values) : settings(std::move(values)) {}

    void act(upstream_action action) { actions.push_back(std::move(action)); }
    /// Sends the message to the entry daemon of the attempt.
    void send(const upstream_attempt& attempt, upstream_message message);
    /// Adds a line about the attempt to the time line.
    void record(const upstream_attempt& attempt, std::string_view kind, std::string_view detail);

    upstream_settings settings;
    timer_service timers;
    time_point now{};
    configuration_ptr rules;
    std::vector<upstream_action> actions;
};

} // namespace clementinegap
