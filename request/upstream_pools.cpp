#include "request/upstream_pools.h"

#include <utility>

namespace clementinegap {

bool upstream_pools::disconnected(const std::string& vm)
{
    const auto found = views_.find(vm);
    return found != views_.end() && std::exchange(found->second.connected, false);
}

void upstream_pools::on_hello(const std::string& vm, const hello_message& message)
{
    auto& view = views_[vm];
    for (const auto& model : view.models) {
        std::erase(by_model_[model], &view);
    }
    view.vm = vm;
    view.zone = message.zone;
    view.region = message.region;
    view.incarnation = message.incarnation;
    view.models = message.models;
    view.slots = message.slots;
    view.free_slots = message.slots;
    view.queued = 0;
    view.leaving = message.leaving;
    view.connected = true;
    for (const auto& model : view.models) {
        by_model_[model].push_back(&view);
    }
}

upstream_pools::speed_change upstream_pools::on_load(const std::string& vm, const load_message& message)
{
    const auto found = views_.find(vm);
    if (found == views_.end()) {
        return speed_change::none;
    }
    auto& view = found->second;
    view.free_slots = message.free_slots;
    view.queued = message.queued;
    view.expected_wait = message.expected_wait;
    view.yields_tier = message.yields_tier;
    view.leaving = message.leaving;
    if (std::exchange(view.slowed, message.slowed) == message.slowed) {
        return speed_change::none;
    }
    return message.slowed ? speed_change::slowed : speed_change::recovered;
}

void upstream_pools::set_leaving(const std::string& vm, bool is_leaving)
{
    if (is_leaving) {
        leaving_.insert(vm);
    } else {
        leaving_.erase(vm);
    }
}

std::span<const upstream_view* const> upstream_pools::serving(std::string_view model) const
{
    const auto found = by_model_.find(model);
    if (found == by_model_.end()) {
        return {};
    }
    return found->second;
}

bool upstream_pools::takes_work(const upstream_view& view) const
{
    return view.connected && !view.leaving && !leaving_.contains(view.vm);
}

} // namespace clementinegap
