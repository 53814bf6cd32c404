#pragma once

#include "request/entry_context.h"
#include "request/upstream_context.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Helpers shared by the tests of the parts of both cores.

namespace clementinegap::part_tests {

inline constexpr time_point start{seconds(100)};

/// The actions of one kind among many, in their order.
template <class Wanted, class Action> std::vector<Wanted> all_of(const std::vector<Action>& actions)
{
    std::vector<Wanted> result;
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Wanted>(&action)) {
            result.push_back(*found);
        }
    }
    return result;
}

/// The messages of one kind among those that were sent to upstream daemons.
template <class Message> std::vector<Message> sent_upstream(const entry_context& context)
{
    std::vector<Message> result;
    for (const auto& sent : all_of<send_to_upstream>(context.actions)) {
        if (const auto* found = std::get_if<Message>(&sent.message)) {
            result.push_back(*found);
        }
    }
    return result;
}

/// The messages of one kind among those that were sent to entry daemons.
template <class Message> std::vector<Message> sent_to_entries(const upstream_context& context)
{
    std::vector<Message> result;
    for (const auto& sent : all_of<send_to_entry>(context.actions)) {
        if (const auto* found = std::get_if<Message>(&sent.message)) {
            result.push_back(*found);
        }
    }
    return result;
}

inline entry_request_ptr request_of(std::uint64_t caller, int tier = 0)
{
    auto request = std::make_shared<entry_request>();
    request->input.caller = caller;
    request->id = "r" + std::to_string(caller);
    request->rules.name = "chat";
    request->rules.model = "assistant";
    request->rules.tier = tier;
    request->workspace = "desk";
    request->fingerprint = "f" + std::to_string(caller);
    request->arrived = start;
    request->deadline_at = start + seconds(60);
    request->target_at = start + seconds(1);
    return request;
}

inline upstream_settings settings_of_upstream()
{
    upstream_settings settings;
    settings.vm = "u1";
    settings.models = {"assistant"};
    settings.slots = 1;
    return settings;
}

/// An attempt whose first-token target is a second and whose deadline is a minute away.
inline upstream_attempt_ptr attempt_of(std::uint64_t number, std::uint8_t tier = 0)
{
    auto attempt = std::make_shared<upstream_attempt>();
    attempt->id = number;
    attempt->session = 1;
    attempt->reservation.attempt = {1, number};
    attempt->reservation.class_name = "chat";
    attempt->reservation.workspace = "desk";
    attempt->reservation.tier = tier;
    attempt->reservation.fingerprint = "f" + std::to_string(number);
    attempt->reservation.time_left = seconds(60);
    attempt->reservation.target_left = seconds(1);
    attempt->arrived = start;
    attempt->deadline_at = start + seconds(60);
    attempt->work.id = number;
    attempt->work.tier = tier;
    attempt->work.workspace = "desk";
    attempt->work.class_name = "chat";
    attempt->work.arrived = start;
    attempt->work.target_at = start + seconds(1);
    attempt->work.deadline_at = attempt->deadline_at;
    attempt->work.starvation_bound = seconds(30);
    return attempt;
}

} // namespace clementinegap::part_tests
