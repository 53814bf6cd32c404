#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace clementinegap {

/// A run of prompt tokens that engines cache under one id.
struct prompt_part {
    std::uint64_t id{0};
    std::uint32_t tokens{0};
};

/// What a caller says of a generation, in the order of the prompt. The last part belongs to the request
/// itself, those before it are shared with others.
struct prompt_info {
    std::string model;
    std::uint32_t tokens_in{0};
    std::uint32_t tokens_out_limit{0};
    std::uint32_t tokens_out_hint{0}; ///< The caller's estimate; 0: none.
    std::vector<prompt_part> parts;

    bool is_generation() const { return tokens_in > 0; }
    /// The last part that is shared with other requests: their session or subject; nullptr without one.
    const prompt_part* session() const { return parts.size() < 2 ? nullptr : &parts[parts.size() - 2]; }
    /// The parts that other requests may have brought into a cache.
    std::span<const prompt_part> shared_parts() const
    {
        return parts.empty() ? std::span<const prompt_part>() : std::span(parts).first(parts.size() - 1);
    }
    /// Tokens that no other request can have brought into a cache.
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
