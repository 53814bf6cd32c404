#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

struct http_header {
    std::string name;
    std::string value;
};

/// Compares two header names, ignoring case.
bool same_header(std::string_view left, std::string_view right);

/// The head of a request or a response.
struct http_head {
    std::string method; ///< Requests only.
    std::string target; ///< Requests only.
    int status{0};      ///< Responses only.
    std::vector<http_header> headers;
    bool keep_alive{true};
    bool is_http_1_0{false}; ///< Its sender does not understand chunked bodies.
    bool chunked{false};
    std::optional<std::uint64_t> content_length;

    /// The first value of a header; nullptr if the header is absent.
    const std::string* find(std::string_view name) const;
    /// Memory that the headers take, about.
    std::size_t memory_bytes() const;
    /// How often a header occurs.
    std::size_t count(std::string_view name) const;
};

/// Whether a header applies to a single connection and must not be forwarded. \param connection_header the
/// value of the message's Connection header, which can name more such headers.
bool is_hop_by_hop(std::string_view name, std::string_view connection_header);

std::string_view reason_phrase(int status);

/// `text` percent-encoded for the query part of a URL.
std::string percent_encoded(std::string_view text);

/// `bytes` as one chunk of a chunked body.
std::string as_chunk(std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace clementinegap
