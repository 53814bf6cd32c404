#include "routing/route_table.h"

#include <algorithm>

namespace clementinegap {

void route_table::add_route(route value)
{
    auto& routes = routes_by_host_[value.host];
    const auto longer = [&](const route& other) { return other.prefix.size() < value.prefix.size(); };
    routes.insert(std::find_if(routes.begin(), routes.end(), longer), std::move(value));
    ++route_count_;
}

void route_table::add_service(service value)
{
    auto name = value.name;
    services_.insert_or_assign(std::move(name), std::move(value));
}

void route_table::add_workspace(workspace value, const std::vector<std::string>& api_keys)
{
    has_workspaces_ = true;
    for (const auto& key : api_keys) {
        workspace_of_key_[key] = workspaces_.size();
    }
    workspaces_.push_back(std::move(value));
}

route_table::lookup route_table::find(std::string_view host, std::string_view path,
                                      std::string_view api_key) const
{
    lookup result;
    const auto routes = routes_by_host_.find(std::string(host));
    if (routes == routes_by_host_.end()) {
        return result;
    }
    const auto match = std::find_if(routes->second.begin(), routes->second.end(),
                                    [&](const route& each) { return path.starts_with(each.prefix); });
    if (match == routes->second.end()) {
        return result;
    }
    result.found = &*match;
    const auto key = api_key.empty() ? workspace_of_key_.end() : workspace_of_key_.find(api_key);
    if (key != workspace_of_key_.end()) {
        result.owner = &workspaces_[key->second];
    }
    result.unauthorized = has_workspaces_ && !match->is_public && result.owner == nullptr;
    return result;
}

std::vector<std::reference_wrapper<const route>> route_table::streams() const
{
    std::vector<std::reference_wrapper<const route>> result;
    for (const auto& [host, routes] : routes_by_host_) {
        for (const auto& each : routes) {
            if (each.is_stream) {
                result.emplace_back(each);
            }
        }
    }
    return result;
}

const service* route_table::find_service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace clementinegap
