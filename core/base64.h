#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace clementinegap {

/// Bytes as text, since the table service's values are JSON.
std::string base64_encode(std::string_view bytes);

/// Nothing for text that is not base64.
std::optional<std::string> base64_decode(std::string_view text);

} // namespace clementinegap
