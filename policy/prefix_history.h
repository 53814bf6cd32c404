#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace clementinegap {

/// Which upstream this entry daemon last sent each prompt prefix to: a guess at the engines' prefix caches
/// that needs no report of theirs. Bounded; the prefix that was unused for longest is forgotten.
class prefix_history {
public:
    explicit prefix_history(std::size_t bound) : bound_(bound) {}

    /// \param hashes of growing prefixes, shortest first.
    void sent(std::span<const std::uint64_t> hashes, const std::string& vm);
    /// The upstream that last had the longest known prefix; nullptr without one.
    const std::string* favourite(std::span<const std::uint64_t> hashes) const;
    std::size_t size() const { return places_.size(); }

private:
    struct entry {
        std::uint64_t hash{0};
        std::string vm;
    };
    std::size_t bound_;
    std::list<entry> recent_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> places_;
};

} // namespace clementinegap
