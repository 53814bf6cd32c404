#include "request/model_list.h"

#include "core/checked_json.h"

#include <algorithm>
#include <set>

namespace clementinegap {
namespace {

constexpr std::uint16_t http_ok = 200;

} // namespace

bool is_known_model(std::string_view model, const configuration& rules, const upstream_map& upstreams)
{
    return std::ranges::find(rules.classes, model, &request_class::model) != rules.classes.end() ||
           std::ranges::any_of(upstreams, [&](const auto& item) {
               return std::ranges::find(item.second.models, model) != item.second.models.end();
           });
}

full_response model_list_response(caller_id caller, const upstream_map& upstreams,
                                  std::string_view request_id)
{
    std::set<std::string> names;
    for (const auto& [vm, view] : upstreams) {
        if (view.connected) {
            names.insert(view.models.begin(), view.models.end());
        }
    }
    json models = json::array();
    for (const auto& name : names) {
        models.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", "clementinegap"}});
    }
    const json body{{"object", "list"}, {"data", std::move(models)}};
    return {caller,
            http_ok,
            {{"Content-Type", "application/json"}, {"Clementinegap-Request-Id", std::string(request_id)}},
            body.dump()};
}

} // namespace clementinegap
