#include "cluster/overlay_store.h"

#include "core/digest.h"

namespace clementinegap {
namespace {

std::size_t bucket_of(const soft_item& item)
{
    return hash64(item.origin) % overlay_store::bucket_count;
}

} // namespace

bool is_reconciled(const soft_item& item)
{
    return item.kind == "member" || item.kind == "suspicion" || item.kind == "leaving" ||
           item.kind == "poison";
}

bool overlay_store::merge(const soft_item& item, time_point now)
{
    const item_key key{item.origin, item.kind, item.key};
    const auto found = items_.find(key);
    if (found != items_.end()) {
        const auto& known = found->second.item;
        if (std::pair(item.incarnation, item.sequence) <= std::pair(known.incarnation, known.sequence)) {
            return false;
        }
        toggle_in_bucket(known);
        found->second = {item, now + item.lifetime};
        toggle_in_bucket(item);
        return true;
    }
    if (item.lifetime <= duration::zero()) {
        return false;
    }
    if (items_.size() >= capacity_) {
        ++refused_;
        return false;
    }
    items_.emplace(key, entry{item, now + item.lifetime});
    toggle_in_bucket(item);
    return true;
}

void overlay_store::expire(time_point now)
{
    std::erase_if(items_, [&](const auto& row) {
        if (row.second.expires > now) {
            return false;
        }
        toggle_in_bucket(row.second.item);
        return true;
    });
}

std::vector<soft_item> overlay_store::items(time_point now, std::optional<std::size_t> bucket) const
{
    std::vector<soft_item> result;
    for (const auto& [key, row] : items_) {
        if (row.expires <= now || (bucket && (bucket_of(row.item) != *bucket || !is_reconciled(row.item)))) {
            continue;
        }
        result.push_back(row.item);
        result.back().lifetime = row.expires - now;
    }
    return result;
}

const soft_item* overlay_store::find(const std::string& origin, const std::string& kind,
                                     const std::string& key) const
{
    const auto found = items_.find({origin, kind, key});
    return found == items_.end() ? nullptr : &found->second.item;
}

std::uint64_t overlay_store::digest() const
{
    std::uint64_t combined = 0;
    for (const auto bucket : buckets_) {
        combined ^= bucket;
    }
    return combined;
}

void overlay_store::toggle_in_bucket(const soft_item& item)
{
    if (!is_reconciled(item)) {
        return;
    }
    const auto identity = hash64(item.origin + '\n' + item.kind + '\n' + item.key,
                                 hash64(std::to_string(item.incarnation), item.sequence));
    buckets_.at(bucket_of(item)) ^= identity;
}

} // namespace clementinegap
