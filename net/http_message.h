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

/// Whether two header names are the same; case does not matter.
bool same_header(std::string_view left, std::string_view right);

/// The head of a request or an answer.
struct http_head {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    int status{0};      ///< Of an answer.
    std::vector<http_header> headers;
    bool keep_alive{true};
    bool chunked{false};
    std::optional<std::uint64_t> content_length;

    /// The first value of a header; nullptr without one.
    const std::string* find(std::string_view name) const;
    /// How often a header occurs.
    std::size_t count(std::string_view name) const;
};

/// Whether a header concerns one connection only and must not be forwarded. \param connection_header the
/// value of the message's Connection header, which may name further ones.
bool is_hop_by_hop(std::string_view name, std::string_view connection_header);

/// The reason phrase of a status.
std::string_view reason_phrase(int status);

/// `text` as a part of a URL's query.
std::string percent_encoded(std::string_view text);

/// One chunk of a chunked body.
std::string as_chunk(std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace clementinegap
