#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// \file
/// Hash functions: SHA-256 for identities that must not collide, and a fast 64-bit hash for placement.

namespace clementinegap {

/// SHA-256 of the parts, each preceded by its length so that no two lists collide; 64 hexadecimal digits.
std::string sha256_hex(std::initializer_list<std::string_view> parts);

/// SHA-256 of exactly `text`, 64 hexadecimal digits; the form in which bearer keys are configured.
std::string sha256_hex(std::string_view text);

/// Compares two strings in time that depends on their lengths only, so that secrets do not leak by timing.
bool equal_constant_time(std::string_view left, std::string_view right);

/// A well-mixed 64-bit hash with the same result on every machine (FNV-1a with the splitmix64 finalizer).
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

} // namespace clementinegap
