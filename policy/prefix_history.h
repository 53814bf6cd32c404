#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace clementinegap {

/// Records the upstream to which this entry daemon last sent each prompt prefix. It estimates the content of
/// the engines' prefix caches without reports from them. Bounded; evicts the least recently used prefix.
class prefix_history {
public:
    explicit prefix_history(std::size_t capacity) : capacity_(capacity) {}

    /// \param hashes hashes of the prompt's prefixes, shortest first.
    void record(std::span<const std::uint64_t> hashes, const std::string& vm);
    /// \returns the upstream that last received the longest known prefix; nullptr without one.
    const std::string* prefix_upstream(std::span<const std::uint64_t> hashes) const;
    std::size_t size() const { return index_.size(); }

private:
    struct entry {
        std::uint64_t hash{0};
        std::string vm;
    };
    std::size_t capacity_;
    std::list<entry> recent_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> index_;
};

} // namespace clementinegap
