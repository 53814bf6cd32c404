#include "routing/admission.h"

#include "core/digest.h"
#include "routing/generation_placement.h"

#include <algorithm>

namespace clementinegap {
namespace {

/// For a route without a timeout.
constexpr duration default_timeout = seconds(60);

const std::string& pick_service(const route& matched_route, std::minstd_rand& random)
{
    std::uint64_t total = 0;
    for (const auto& each : matched_route.targets) {
        total += each.weight;
    }
    if (matched_route.targets.size() == 1 || total == 0) {
        return matched_route.targets.front().service;
    }
    auto drawn = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random);
    for (const auto& each : matched_route.targets) {
        if (drawn < each.weight) {
            return each.service;
        }
        drawn -= each.weight;
    }
    return matched_route.targets.back().service;
}

} // namespace

std::variant<routed_request, refusal> admit(const request_arrived& event,
                                            const std::shared_ptr<const route_table>& table,
                                            std::minstd_rand& random, time_point now)
{
    if (!table) {
        return refusal{503, result_code::not_ready, "no configuration yet"};
    }
    const auto version = std::to_string(table->version());
    const auto match = table->find(event.host, event.path, event.api_key);
    if (match.found == nullptr) {
        return refusal{404, result_code::not_found, "no route; configuration " + version};
    }
    if (match.unauthorized) {
        return refusal{401, result_code::unauthorized, "unknown API key; configuration " + version};
    }
    routed_request request;
    request.number = event.request;
    request.id = event.id;
    request.table = table;
    request.matched_route = match.found;
    request.service = pick_service(*match.found, random);
    request.workspace = match.owner == nullptr ? "" : match.owner->name;
    const auto of_workspace = match.owner == nullptr ? std::nullopt : match.owner->priority;
    request.priority = {of_workspace.value_or(match.found->priority), match.found->priority};
    request.fingerprint = std::to_string(hash64(event.path, hash64(request.workspace, event.body_hash)));
    request.prompt = event.prompt;
    request.continues = event.continues;
    request.step_tolerance =
        generation_placement::step_tolerance(*match.found, table->find_service(request.service));
    request.arrived = now;
    request.sent_at = now; // Until the first send, so that no time before the arrival is measured.
    const auto timeout = match.found->timeout > duration::zero() ? match.found->timeout : default_timeout;
    request.ends_at = now + std::min(timeout, event.deadline.value_or(timeout));
    return request;
}

} // namespace clementinegap
