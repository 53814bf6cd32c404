#include "cluster/upstream_subset.h"

#include "core/digest.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace clementinegap {
namespace {

using group = std::vector<const member_view*>;

/// Members that take new work for certain come first.
int rank_of(const member_view& view)
{
    if (view.state == member_state::dead) {
        return 2;
    }
    return view.leaving ? 1 : 0;
}

int distance_of(const member_view& view, const subset_request& request)
{
    if (view.info.region != request.region) {
        return 2;
    }
    return view.info.zone == request.zone ? 0 : 1;
}

void choose_of_group(group candidates, const subset_request& request, std::set<const member_view*>& chosen)
{
    const auto weight = [&](const member_view* view) {
        // A smaller key goes first.
        return hash64(view->info.vm, hash64(request.vm));
    };
    std::ranges::sort(candidates, {}, [&](const member_view* view) {
        return std::tuple(rank_of(*view), distance_of(*view, request), weight(view));
    });
    const auto own_zone_share = std::max<std::size_t>(1, request.per_model / 2);
    std::size_t taken = 0;
    std::size_t taken_of_own_zone = 0;
    const auto take = [&](bool spare_own_zone) {
        for (const auto* view : candidates) {
            const bool is_own_zone = distance_of(*view, request) == 0;
            if (taken >= request.per_model || rank_of(*view) != 0) {
                return;
            }
            if (chosen.contains(view) ||
                (spare_own_zone && is_own_zone && taken_of_own_zone >= own_zone_share)) {
                continue;
            }
            chosen.insert(view);
            ++taken;
            taken_of_own_zone += is_own_zone ? 1 : 0;
        }
    };
    take(true);
    take(false);
    for (const auto* view : candidates) {
        const bool keeps_runs = rank_of(*view) == 1;
        if (keeps_runs || taken == 0) {
            chosen.insert(view);
        }
    }
}

} // namespace

std::vector<const member_view*> choose_upstreams(std::span<const member_view> members,
                                                 const subset_request& request)
{
    // Listed members whose models are not known yet form a group of their own under the empty name.
    std::map<std::string, group> by_model;
    for (const auto& view : members) {
        if (view.info.role != "upstream" || view.info.address.empty()) {
            continue;
        }
        if (view.info.models.empty()) {
            by_model[""].push_back(&view);
        }
        for (const auto& model : view.info.models) {
            by_model[model].push_back(&view);
        }
    }
    std::set<const member_view*> chosen;
    for (auto& [model, candidates] : by_model) {
        choose_of_group(std::move(candidates), request, chosen);
    }
    return {chosen.begin(), chosen.end()};
}

} // namespace clementinegap
