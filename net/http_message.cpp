#include "net/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <http_parser.h>
#include <strings.h>

namespace clementinegap {
namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_headers = {"connection",
                                                                "keep-alive",
                                                                "proxy-authenticate",
                                                                "proxy-authorization",
                                                                "proxy-connection",
                                                                "te",
                                                                "trailer",
                                                                "transfer-encoding",
                                                                "upgrade"};

} // namespace

bool same_header(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

const std::string* http_head::find(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const http_header& each) { return same_header(each.name, name); });
    return found == headers.end() ? nullptr : &found->value;
}

std::size_t http_head::memory_bytes() const
{
    std::size_t bytes = headers.capacity() * sizeof(http_header);
    for (const auto& each : headers) {
        bytes += each.name.capacity() + each.value.capacity();
    }
    return bytes;
}

std::size_t http_head::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [&](const http_header& each) { return same_header(each.name, name); }));
}

bool is_hop_by_hop(std::string_view name, std::string_view connection_header)
{
    if (std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                    [&](std::string_view each) { return same_header(each, name); })) {
        return true;
    }
    while (!connection_header.empty()) {
        const auto comma = connection_header.find(',');
        auto token = connection_header.substr(0, comma);
        connection_header = comma == std::string_view::npos ? "" : connection_header.substr(comma + 1);
        const auto first = token.find_first_not_of(" \t");
        if (first == std::string_view::npos) {
            continue;
        }
        token = token.substr(first, token.find_last_not_of(" \t") - first + 1);
        if (same_header(token, name)) {
            return true;
        }
    }
    return false;
}

std::string_view reason_phrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

std::string percent_encoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            result.push_back(c);
            continue;
        }
        result.push_back('%');
        result.push_back(digits[byte >> 4U]);
        result.push_back(digits[byte & 15U]);
    }
    return result;
}

std::string as_chunk(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string chunk;
    chunk.reserve(bytes.size() + static_cast<std::size_t>(length) + 2);
    chunk.append(size.data(), static_cast<std::size_t>(length)).append(bytes).append("\r\n");
    return chunk;
}

} // namespace clementinegap
