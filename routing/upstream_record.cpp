#include "routing/upstream_record.h"

#include <charconv>

namespace clementinegap {

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    endpoint result;
    result.ip = text.substr(0, colon);
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, result.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return result;
}

std::string to_string(const endpoint& value)
{
    return value.ip + ":" + std::to_string(value.port);
}

} // namespace clementinegap
