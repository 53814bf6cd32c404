#pragma once

#include "core/soft_state.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace clementinegap {

/// \returns whether an item is part of the digests by which neighbours detect missed items. Items that their
/// origin publishes periodically are not.
bool is_reconciled(const soft_item& item);

/// The soft state of one daemon: the newest item of each origin, kind and key. Bounded; a full store refuses
/// new items and counts the refusals.
class overlay_store {
public:
    static constexpr std::size_t bucket_count = 64;
    using bucket_hashes = std::array<std::uint64_t, bucket_count>;

    explicit overlay_store(std::size_t capacity) : capacity_(capacity) {}

    /// Adds an item whose lifetime starts at `now`; returns whether it is newer than the stored one.
    bool merge(const soft_item& item, time_point now);
    /// Removes items past their lifetime.
    void expire(time_point now);
    /// \returns the items that have not expired, with their remaining lifetime; with `bucket` only the
    /// reconciled items of that bucket.
    std::vector<soft_item> items(time_point now, std::optional<std::size_t> bucket = std::nullopt) const;
    const soft_item* find(const std::string& origin, const std::string& kind, const std::string& key) const;

    std::uint64_t digest() const;
    const bucket_hashes& buckets() const { return buckets_; }
    std::size_t size() const { return items_.size(); }
    std::uint64_t refused() const { return refused_; }

private:
    using item_key = std::tuple<std::string, std::string, std::string>;
    struct entry {
        soft_item item;
        time_point expires;
    };

    void toggle_in_bucket(const soft_item& item);

    std::size_t capacity_;
    std::map<item_key, entry> items_;
    bucket_hashes buckets_{};
    std::uint64_t refused_{0};
};

} // namespace clementinegap
