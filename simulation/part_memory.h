#pragma once

#include "routing/prompt.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace clementinegap {

/// The memory of a simulated engine: prompt parts, kept until others need their place, and the outputs of
/// running requests, which cannot yield. Parts in use do not yield either.
class part_memory {
public:
    explicit part_memory(std::uint64_t capacity) : capacity_(capacity) {}

    /// Tokens of a prompt that have to be read: all from the first part that is not held whole.
    std::uint32_t missing(std::span<const prompt_part> parts) const;
    /// Takes the parts into use, if they fit after others have yielded.
    bool take(std::span<const prompt_part> parts);
    /// The parts were read.
    void set_read(std::span<const prompt_part> parts);
    /// The parts are no longer in use; those that were not read are dropped.
    void release(std::span<const prompt_part> parts);

    /// Makes room for one more token of an output; false when nothing can yield.
    bool grow();
    void shrink(std::uint32_t output_tokens) { used_ -= output_tokens; }

    std::uint64_t used() const { return used_; }
    std::uint64_t capacity() const { return capacity_; }

private:
    struct held_part {
        std::uint32_t tokens{0};
        std::uint32_t users{0};
        bool read{false};
        std::list<std::uint64_t>::iterator place; ///< Among the idle ones, while there are no users.
    };

    bool make_room(std::uint64_t tokens);

    std::uint64_t capacity_;
    std::uint64_t used_{0};
    std::unordered_map<std::uint64_t, held_part> parts_;
    std::list<std::uint64_t> idle_; ///< The longest unused first.
};

} // namespace clementinegap
