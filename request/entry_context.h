#pragma once

#include "core/timer_service.h"
#include "request/entry_core_settings.h"
#include "request/entry_events.h"
#include "request/entry_request.h"

#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// What the parts of an entry core share: settings, time, the configuration and the actions that result
/// from the current event.
struct entry_context {
    explicit entry_context(entry_core_settings values) : settings(std::move(values)), random(settings.seed) {}

    void act(entry_action action) { actions.push_back(std::move(action)); }
    void send(const std::string& vm, entry_message message);
    /// Adds a line about the request to the time line.
    void record(const entry_request& request, std::string_view kind, std::string_view upstream,
                std::string_view detail);
    std::string new_request_id();
    bool is_late_bound() const { return std::holds_alternative<late_bound_placement>(settings.placement); }

    entry_core_settings settings;
    random_engine random;
    timer_service timers;
    time_point now{};
    configuration_ptr rules;
    std::vector<entry_action> actions;

private:
    std::uint64_t last_request_{0};
};

} // namespace clementinegap
