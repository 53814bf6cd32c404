#include "net/http_syntax.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace clementinegap {
namespace {

constexpr std::size_t status_digits = 3;
constexpr int status_switching_protocols = 101;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_token_byte(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           marks.find(c) != std::string_view::npos;
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_byte);
}

bool is_line_text(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_line_byte);
}

std::string_view without_leading_blanks(std::string_view text)
{
    return text.substr(std::min(text.find_first_not_of(" \t"), text.size()));
}

std::string_view without_blanks_around(std::string_view text)
{
    text = without_leading_blanks(text);
    return text.substr(0, text.find_last_not_of(" \t") + 1);
}

bool is_informational(int status)
{
    return status >= 100 && status < 200;
}

/// Removes a token from the front. \returns whether there was one.
bool take_token(std::string_view& text)
{
    const auto* end = std::find_if_not(text.begin(), text.end(), is_token_byte);
    const auto size = static_cast<std::size_t>(end - text.begin());
    text.remove_prefix(size);
    return size > 0;
}

/// Removes a quoted string from the front. \returns whether there was one.
bool take_quoted_string(std::string_view& text)
{
    for (std::size_t at = 1; text.starts_with('"') && at < text.size(); ++at) {
        if (text[at] == '"') {
            text.remove_prefix(at + 1);
            return true;
        }
        if (text[at] == '\\') {
            ++at; // A quoted pair.
        }
    }
    return false;
}

/// Removes one extension of a chunk, with its semicolon, from the front. \returns whether there was one.
bool take_chunk_extension(std::string_view& text)
{
    text = without_leading_blanks(text);
    if (!text.starts_with(';')) {
        return false;
    }
    text = without_leading_blanks(text.substr(1));
    if (!take_token(text)) {
        return false;
    }
    const auto after_name = without_leading_blanks(text);
    if (!after_name.starts_with('=')) {
        return true;
    }
    text = without_leading_blanks(after_name.substr(1));
    return text.starts_with('"') ? take_quoted_string(text) : take_token(text);
}

} // namespace

bool is_line_byte(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

std::string_view status_line_fault(std::string_view line)
{
    constexpr std::string_view malformed = "malformed status line";
    if (!line.starts_with(response_prefix)) {
        return "not an HTTP/1 response";
    }
    line.remove_prefix(response_prefix.size());
    // DIGIT SP 3DIGIT SP
    if (line.size() < status_digits + 3 || !is_digit(line[0]) || line[1] != ' ' || line[5] != ' ') {
        return malformed;
    }
    const auto status = line.substr(2, status_digits);
    if (!std::all_of(status.begin(), status.end(), is_digit) || !is_line_text(line)) {
        return malformed;
    }
    if (status.front() < '1' || status.front() > '5') {
        return "status outside 100 to 599";
    }
    return {};
}

std::string_view field_line_fault(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
        return "malformed header line";
    }
    if (!is_line_text(line.substr(colon + 1))) {
        return "control character in a header";
    }
    return {};
}

std::optional<std::uint64_t> chunk_size(std::string_view line)
{
    constexpr int base = 16;
    std::uint64_t size = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), size, base);
    if (error != std::errc{} || !is_line_text(line)) {
        return std::nullopt;
    }
    line.remove_prefix(static_cast<std::size_t>(end - line.data()));
    while (!line.empty()) {
        if (!take_chunk_extension(line)) {
            return std::nullopt;
        }
    }
    return size;
}

bool is_bodiless(int status)
{
    return is_informational(status) || status == status_no_content || status == status_not_modified;
}

std::string_view framing_fault(const http_head& response)
{
    constexpr std::string_view coding = "Transfer-Encoding";
    constexpr std::string_view length = "Content-Length";
    if (response.status == status_switching_protocols) {
        return "upgrade that was not asked for";
    }
    const auto* coding_value = response.find(coding);
    if (coding_value != nullptr &&
        (response.count(coding) > 1 || !same_header(without_blanks_around(*coding_value), "chunked"))) {
        return "transfer coding other than chunked";
    }
    if (response.chunked != (coding_value != nullptr) || (response.chunked && response.is_http_1_0)) {
        return "transfer coding in a message of HTTP/1.0";
    }
    const auto* length_value = response.find(length);
    if (length_value != nullptr && coding_value != nullptr) {
        return "both a length and a transfer coding";
    }
    if (length_value != nullptr) {
        const auto digits = without_blanks_around(*length_value);
        if (response.count(length) > 1 || digits.empty() ||
            !std::all_of(digits.begin(), digits.end(), is_digit) || !response.content_length) {
            return "malformed length";
        }
    }
    const bool states_body = response.chunked || response.content_length.value_or(0) > 0;
    if (states_body && (is_informational(response.status) || response.status == status_no_content)) {
        return "body in a response that has none";
    }
    return {};
}

} // namespace clementinegap
