#pragma once

#include "net/http_message.h"

#include <cstddef>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace clementinegap {

/// Reads HTTP/1 messages of one direction from a byte stream, one message at a time, over http-parser.
class http_reader {
public:
    enum class kind { requests, responses };

    /// Whether a message's body is taken, or the message has none whatever its headers say.
    enum class body_rule { as_framed, none };

    struct callbacks {
        std::function<body_rule(http_head& head)> on_head;
        std::function<void(std::string_view bytes)> on_body;
        std::function<void()> on_complete;
    };

    enum class state {
        reading,  ///< More bytes are needed.
        complete, ///< A message ended; the bytes after it were not taken.
        broken,   ///< What came is not HTTP.
    };

    http_reader(kind what, callbacks handlers);

    /// Takes bytes up to the end of a message. \returns how many were taken.
    std::size_t feed(std::string_view bytes);
    /// The peer closed the connection in order, which ends a message without a length.
    void feed_end();
    state status() const { return state_; }
    /// Whether any byte of the current message has come.
    bool started() const { return started_; }
    /// Gets ready for the next message.
    void restart();
    /// What is wrong, for the log.
    std::string_view problem() const;

private:
    static http_reader& self(http_parser* parser) { return *static_cast<http_reader*>(parser->data); }
    static const http_parser_settings& parser_settings();
    int head_complete();
    /// Whether more than a sound peer sends has come without an end.
    bool exceeds_head_limits() const;
    std::size_t execute(std::string_view bytes);

    callbacks callbacks_;
    http_parser parser_{};
    kind kind_;
    state state_{state::reading};
    bool started_{false};
    bool last_was_value_{true};
    bool informational_{false};
    std::size_t head_bytes_{0}; ///< Since bytes of a body came last: of heads, trailers and chunk lines.
    std::uint32_t informational_responses_{0};
    http_head head_;
};

/// Checks the bytes of a request head, up to and with its empty line, beyond what the parser does: line ends,
/// header names, folded lines, control characters. Empty when the head is fine, else what is wrong.
std::string_view head_fault(std::string_view head);

} // namespace clementinegap
