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

/// Whether an item is part of the digests by which neighbours find what they missed. Items that their origin
/// repeats by itself are not.
bool is_reconciled(const soft_state_item& item);

/// The soft state that one daemon knows: of two items with one origin, kind and key the newer one. Bounded;
/// a full store refuses new items and counts them.
class overlay_store {
public:
    static constexpr std::size_t bucket_count = 64;
    using bucket_hashes = std::array<std::uint64_t, bucket_count>;

    explicit overlay_store(std::size_t capacity) : capacity_(capacity) {}

    /// True when the item is news. Its lifetime counts from `now`.
    bool take(const soft_state_item& item, time_point now);
    /// Drops what is past its lifetime.
    void expire(time_point now);
    /// The live items with the lifetime that is left, those of one bucket or all.
    std::vector<soft_state_item> items(time_point now,
                                       std::optional<std::size_t> bucket = std::nullopt) const;
    const soft_state_item* find(const std::string& origin, const std::string& kind,
                                const std::string& key) const;

    std::uint64_t digest() const;
    const bucket_hashes& buckets() const { return buckets_; }
    std::size_t size() const { return items_.size(); }
    std::uint64_t refused() const { return refused_; }

private:
    using item_key = std::tuple<std::string, std::string, std::string>;
    struct entry {
        soft_state_item item;
        time_point expires;
    };

    void toggle(const soft_state_item& item);

    std::size_t capacity_;
    std::map<item_key, entry> items_;
    bucket_hashes buckets_{};
    std::uint64_t refused_{0};
};

} // namespace clementinegap
