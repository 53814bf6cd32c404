#include "request/request_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementinegap {

entry_request_ptr request_table::find(caller_id caller) const
{
    const auto found = requests_.find(caller);
    return found == requests_.end() ? nullptr : found->second;
}

entry_request_ptr request_table::waiting_below(int tier) const
{
    entry_request_ptr lowest;
    for (const auto& [caller, request] : requests_) {
        const bool waits = !request->running && request->dispatches == 0 && !request->caller_left;
        if (!waits || request->rules.tier <= tier) {
            continue;
        }
        const auto rank = [](const entry_request& item) {
            return std::tuple(item.rules.tier, item.arrived, item.id);
        };
        if (lowest == nullptr || rank(*request) > rank(*lowest)) {
            lowest = request;
        }
    }
    return lowest;
}

std::vector<entry_request_ptr> request_table::sorted(std::vector<entry_request_ptr> requests)
{
    std::ranges::sort(requests, {}, [](const entry_request_ptr& request) { return request->id; });
    return requests;
}

} // namespace clementinegap
