#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace clementinegap {

/// A sequence of prompt tokens that engines cache under one id.
struct prompt_part {
    std::uint64_t id{0};
    std::uint32_t tokens{0};
};

/// Properties of a generation as given by the caller, with the parts in prompt order. The last part belongs
/// to this request only; the parts before it are shared with other requests.
struct prompt_info {
    std::string model;
    std::uint32_t tokens_in{0};
    std::uint32_t tokens_out_limit{0};
    std::uint32_t tokens_out_hint{0}; ///< The caller's estimate; 0: none.
    std::vector<prompt_part> parts;

    bool is_generation() const { return tokens_in > 0; }
    /// The last part that is shared with other requests, which is their session or subject; nullptr without
    /// one.
    const prompt_part* session() const { return parts.size() < 2 ? nullptr : &parts[parts.size() - 2]; }
    /// The parts that may be cached because of other requests.
    std::span<const prompt_part> shared_parts() const
    {
        return parts.empty() ? std::span<const prompt_part>() : std::span(parts).first(parts.size() - 1);
    }
    /// Tokens that cannot be cached because of other requests.
    std::uint32_t own_tokens() const
    {
        if (parts.empty()) {
            return tokens_in;
        }
        return parts.back().tokens;
    }
    std::uint32_t expected_output() const { return tokens_out_hint > 0 ? tokens_out_hint : tokens_out_limit; }
};

} // namespace clementinegap
