#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace clementinegap {

/// Encodes bytes as base64; used for binary data in the table service, whose values are JSON.
std::string base64_encode(std::string_view bytes);

/// Decodes base64; \returns nullopt for invalid input.
std::optional<std::string> base64_decode(std::string_view text);

} // namespace clementinegap
