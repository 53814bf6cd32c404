#pragma once

#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// \file
/// What is valid in an HTTP/1 message, apart from the bytes of its body:
///
/// - Line end: CRLF, and neither CR nor LF within a line (RFC 9112, 2.2).
/// - Status line: `HTTP/1.` DIGIT SP 3DIGIT SP [ reason ] (RFC 9112, 4); the status is 100 to 599
///   (RFC 9110, 15). A reason has HTAB, SP, visible characters and bytes from 0x80.
/// - Before the first header: nothing, also no line that begins with a blank (RFC 9112, 2.2).
/// - Header and trailer: token `:` value, without a blank before the colon and without folded lines
///   (RFC 9112, 5).
/// - Token: letters, digits and the marks ``!#$%&'*+-.^_`|~`` (RFC 9110, 5.6.2).
/// - Value: HTAB, SP, visible characters and bytes from 0x80; it may be empty (RFC 9110, 5.5).
/// - Body: one `Content-Length` of digits, or one `Transfer-Encoding: chunked` of HTTP/1.1, not both. With
///   neither it goes on to the end of the connection (RFC 9112, 6).
/// - No body follows 1xx, 204 and 304. 1xx and 204 have no coding, and no length but 0 (RFC 9112, 6;
///   RFC 9110, 8.6).
/// - 101 is never valid, as no request asks for an upgrade (RFC 9110, 7.8).
/// - Chunk size: 1*HEXDIG *( BWS `;` BWS token [ BWS `=` BWS ( token / quoted-string ) ] ) (RFC 9112, 7.1).
/// - Chunk end: CRLF, right after as many bytes as the size says (RFC 9112, 7.1).
///
/// Where the standard lets a recipient repair a message, it is invalid here: whoever repairs it may read
/// something else than its sender wrote.

namespace clementinegap {

/// What every status line begins with.
inline constexpr std::string_view response_prefix = "HTTP/1.";

/// \returns what is wrong with a line; empty for a valid one.
std::string_view status_line_fault(std::string_view line);
std::string_view field_line_fault(std::string_view line);

/// The size that the first line of a chunk states; nothing if the line is invalid.
std::optional<std::uint64_t> chunk_size(std::string_view line);

/// What is wrong with a response's head as to where its body ends; empty for a valid one. `chunked` and
/// `content_length` say how a parser would read the body.
std::string_view framing_fault(const http_head& response);

/// Whether responses with this status have no body, whatever their headers say.
bool is_bodiless(int status);

/// Whether a byte may occur in a line of a head, of chunks or of trailers.
bool is_line_byte(char c);

} // namespace clementinegap
