#pragma once

#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// \file
/// What is valid in an HTTP/1 message, apart from its body. Lines are without their line end, which is CRLF
/// always.
///
/// | element            | valid                                                         | source         |
/// |--------------------|---------------------------------------------------------------|----------------|
/// | line end           | CRLF; no CR or LF elsewhere in a line                         | RFC 9112, 2.2  |
/// | status line        | `HTTP/1.` DIGIT SP 3DIGIT SP [ reason ], 100 to 599           | RFC 9112, 4; RFC
/// 9110, 15 | | reason             | HTAB, SP, visible characters, bytes from 0x80                 | RFC
/// 9112, 4    | | header, trailer    | token `:` value; no blank before the colon, no folded line    | RFC
/// 9112, 5    | | token              | letters, digits and the marks ``!#$%&'*+-.^_`|~``             | RFC
/// 9110, 5.6.2 | | value              | HTAB, SP, visible characters, bytes from 0x80; may be empty   | RFC
/// 9110, 5.5  | | before first field | nothing; a line that begins with a blank is invalid           | RFC
/// 9112, 2.2  |
///
/// Where the standard lets a recipient repair a message, it is invalid here: whoever repairs it may read
/// something else than its sender wrote.

namespace clementinegap {

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
