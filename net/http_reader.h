#pragma once

#include "net/http_message.h"
#include "net/response_lines.h"

#include <cstddef>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace clementinegap {

/// Reads HTTP/1 requests or responses from a byte stream, one message at a time, with http-parser. A response
/// whose lines are not valid (`http_syntax.h`) is broken.
class http_reader {
public:
    enum class kind { requests, responses };

    /// `as_framed`: the body is read as the headers describe it. `none`: the message has no body, regardless
    /// of its headers.
    enum class body_rule { as_framed, none };

    struct callbacks {
        std::function<body_rule(http_head& head)> on_head;
        std::function<void(std::string_view bytes)> on_body;
        std::function<void()> on_complete;
    };

    enum class state {
        reading,  ///< More bytes are needed.
        complete, ///< A message ended; bytes after it were not consumed.
        broken,   ///< The input is not valid HTTP or exceeds a limit.
    };

    http_reader(kind what, callbacks handlers);

    /// Consumes bytes up to the end of the message. \returns the number of bytes consumed.
    std::size_t feed(std::string_view bytes);
    /// Reports an orderly close by the peer, which ends a message without a length.
    void feed_end();
    state status() const { return state_; }
    /// Whether any byte of the current message was received.
    bool started() const { return started_; }
    /// Prepares for the next message.
    void restart();
    /// Bytes of the head that have been received, and of trailers and chunk lines after the last body bytes.
    std::size_t head_bytes() const { return head_bytes_ + lines_.kept_bytes(); }
    /// Memory that the head takes, about.
    std::size_t memory_bytes() const { return head_.memory_bytes() + lines_.memory_bytes(); }
    /// Why the input is broken.
    std::string_view problem() const;

private:
    static http_reader& self(http_parser* parser) { return *static_cast<http_reader*>(parser->data); }
    static const http_parser_settings& parser_settings();
    int head_complete();
    /// Whether the response exceeds the limits for heads and informational responses.
    bool exceeds_head_limits() const;
    /// Reads the next line of a response or a part of its body. \returns the number of bytes consumed.
    std::size_t read_response_part(std::string_view bytes);
    std::size_t execute(std::string_view bytes);

    callbacks callbacks_;
    http_parser parser_{};
    response_lines lines_;
    kind kind_;
    state state_{state::reading};
    bool started_{false};
    bool last_was_value_{true};
    bool informational_{false};
    std::size_t head_bytes_{0}; ///< Bytes of heads, trailers and chunk lines since the last body bytes.
    std::uint32_t informational_responses_{0};
    std::string_view fault_; ///< That neither `lines_` nor the parser knows; empty: none.
    http_head head_;
};

/// Validates a request head, including its final empty line, more strictly than the parser: line ends, header
/// names, folded lines and control characters. \returns the fault; empty for a valid head.
std::string_view head_fault(std::string_view head);

} // namespace clementinegap
