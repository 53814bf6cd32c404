#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace clementinegap {

/// Cuts the bytes of responses into lines and checks each line (`http_syntax.h`) before a parser reads it.
/// Parsers accept more than the standard does, and each reads the rest in its own way. The bytes of bodies
/// pass unchecked.
class response_lines {
public:
    struct part {
        std::string_view valid;  ///< Valid until the next call; empty while a line is incomplete.
        std::size_t consumed{0}; ///< Bytes of the input that it took.
    };

    /// Takes the next line, or bytes of a body up to the end of a chunk. Incomplete lines are kept. Nothing
    /// is to be passed after a fault.
    part next(std::string_view bytes);
    /// The next line is a status line.
    void expect_head() { section_ = section::status_line; }
    /// The head that ended is followed by a body in chunks. Otherwise all that follows it is its body.
    void expect_chunks() { section_ = section::chunk_size; }
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
        chunk_size,
        chunk_data,
        chunk_end,
        trailers,
    };

    part next_line(std::string_view bytes);
    part next_of_chunk(std::string_view bytes);
    /// Checks what has come of a line, so that bytes that are no HTTP are not waited for until a line ends.
    void check_incomplete(std::string_view bytes);
    void check_line(std::string_view line);
    void check_chunk_size(std::string_view line);

    section section_{section::status_line};
    std::string line_; ///< What came of an incomplete line, or the last line if it came in several parts.
    bool is_line_passed_{false};
    std::uint64_t chunk_left_{0}; ///< Bytes of the chunk that are to come.
    std::string_view fault_;
};

} // namespace clementinegap
