#include "routing/stream_origins.h"

#include "core/digest.h"

#include <algorithm>

namespace clementinegap {

stream_key stream_origins::key_of(std::string_view request_id)
{
    return hash64(request_id);
}

void stream_origins::add(stream_key stream, const stream_origin& origin, time_point now)
{
    auto& known = shared_[{origin.service, origin.software_version}];
    auto shared = known.lock();
    if (!shared) {
        shared = std::make_shared<const stream_origin>(origin);
        known = shared;
    }
    if (origins_.insert_or_assign(stream, std::move(shared)).second) {
        by_age_.emplace_back(now, stream);
    }
    if (by_age_.size() > max_origins) {
        origins_.erase(by_age_.front().second);
        by_age_.pop_front();
    }
}

void stream_origins::began_here(stream_key stream, std::string_view upstream, time_point now)
{
    begun_here_.push_back({now, std::string(upstream), stream});
    if (begun_here_.size() > max_origins) {
        begun_here_.pop_front();
    }
}

std::vector<stream_key> stream_origins::begun_lately_at(std::string_view upstream) const
{
    std::vector<stream_key> result;
    for (const auto& each : begun_here_) {
        if (each.upstream == upstream) {
            result.push_back(each.stream);
        }
    }
    return result;
}

const stream_origin* stream_origins::find(stream_key stream) const
{
    const auto found = origins_.find(stream);
    return found == origins_.end() ? nullptr : found->second.get();
}

void stream_origins::expire(time_point now)
{
    while (!by_age_.empty() && now - by_age_.front().first > lifetime) {
        origins_.erase(by_age_.front().second);
        by_age_.pop_front();
    }
    while (!begun_here_.empty() && now - begun_here_.front().at > listing_delay) {
        begun_here_.pop_front();
    }
    std::erase_if(shared_, [](const auto& each) { return each.second.expired(); });
}

std::vector<std::string> stream_origins::keepers(stream_key stream, std::span<const std::string> daemons,
                                                 std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    ranked.reserve(daemons.size());
    for (const auto& each : daemons) {
        ranked.emplace_back(hash64(each, stream), each);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::vector<std::string> result;
    for (auto each = ranked.begin(); each != end; ++each) {
        result.emplace_back(each->second);
    }
    return result;
}

} // namespace clementinegap
