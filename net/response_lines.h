#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace clementinegap {

/// Cuts the bytes of responses into lines and checks each line (`http_syntax.h`) before a parser reads it.
/// Parsers accept more than the standard does, and each reads the rest in its own way. Bodies pass unchecked.
class response_lines {
public:
    struct part {
        std::string_view valid;  ///< Valid until the next call; empty while a line is incomplete.
        std::size_t consumed{0}; ///< Bytes of the input that it took.
    };

    /// Takes the next line or, in a body, all bytes. Incomplete lines are kept. Nothing is to be passed after
    /// a fault.
    part next(std::string_view bytes);
    /// The next line is a status line.
    void expect_head();
    /// Why the input is invalid; empty while it is valid.
    std::string_view fault() const { return fault_; }
    /// Bytes of an incomplete line.
    std::size_t kept_bytes() const { return is_line_passed_ ? 0 : line_.size(); }
    std::size_t memory_bytes() const { return line_.capacity(); }
    /// Gives back the memory of the last line.
    void release_memory();

private:
    enum class section : std::uint8_t {
        status_line,
        fields,
        body,
    };

    part next_line(std::string_view bytes);
    /// Checks what has come of a line, so that bytes that are no HTTP are not waited for until a line ends.
    void check_incomplete(std::string_view bytes);
    void check_line(std::string_view line);

    section section_{section::status_line};
    std::string line_; ///< What came of an incomplete line, or the last line if it came in several parts.
    bool is_line_passed_{false};
    std::string_view fault_;
};

} // namespace clementinegap
