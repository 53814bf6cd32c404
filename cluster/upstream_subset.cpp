#include "cluster/upstream_subset.h"

#include "core/digest.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace clementinegap {
namespace {

using group = std::vector<const member_view*>;

/// Members that accept new work come first, then leaving ones, then dead ones.
int availability_rank(const member_view& view)
{
    if (view.state == member_state::dead) {
        return 2;
    }
    return view.leaving ? 1 : 0;
}

int locality_rank(const member_view& view, const subset_request& request)
{
    if (view.info.region != request.region) {
        return 2;
    }
    return view.info.zone == request.zone ? 0 : 1;
}

void choose_from_group(group candidates, const subset_request& request, std::set<const member_view*>& chosen)
{
    const auto weight = [&](const member_view* view) {
        // The smallest hash ranks first.
        return hash64(view->info.vm, hash64(request.vm));
    };
    std::ranges::sort(candidates, {}, [&](const member_view* view) {
        return std::tuple(availability_rank(*view), locality_rank(*view, request), weight(view));
    });
    const auto own_zone_share = std::max<std::size_t>(1, request.per_model / 2);
    std::size_t taken = 0;
    std::size_t taken_in_own_zone = 0;
    const auto take = [&](bool limit_own_zone) {
        for (const auto* view : candidates) {
            const bool is_own_zone = locality_rank(*view, request) == 0;
            if (taken >= request.per_model || availability_rank(*view) != 0) {
                return;
            }
            if (chosen.contains(view) ||
                (limit_own_zone && is_own_zone && taken_in_own_zone >= own_zone_share)) {
                continue;
            }
            chosen.insert(view);
            ++taken;
            taken_in_own_zone += is_own_zone ? 1 : 0;
        }
    };
    take(true);
    take(false);
    for (const auto* view : candidates) {
        const bool is_leaving = availability_rank(*view) == 1;
        if (is_leaving || taken == 0) {
            chosen.insert(view);
        }
    }
}

} // namespace

std::vector<const member_view*> choose_upstreams(std::span<const member_view> members,
                                                 const subset_request& request)
{
    // Listed members whose models are unknown yet form a separate group under the empty name.
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
        choose_from_group(std::move(candidates), request, chosen);
    }
    return {chosen.begin(), chosen.end()};
}

} // namespace clementinegap
