#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace clementinegap {

/// Log lines on their way to a descriptor that may be slow: kept in bounded memory and written without ever
/// waiting. Lines that do not fit are dropped, counted, and the count is written once there is room.
class bounded_output {
public:
    /// Makes the line that tells how many lines were dropped, with its end.
    using dropped_line = std::function<std::string(std::uint64_t lines, std::int64_t now_us)>;

    /// \param bytes_per_second what is written at most on average; a burst of one second is allowed.
    bounded_output(int descriptor, std::size_t buffer_bytes, std::size_t bytes_per_second,
                   dropped_line on_dropped);

    void append(std::string_view line);
    /// Writes what the descriptor takes now. \param now_us any steady time.
    void flush(std::int64_t now_us);
    std::uint64_t dropped() const { return dropped_; }

private:
    int descriptor_;
    std::size_t buffer_bytes_;
    std::size_t bytes_per_second_;
    dropped_line on_dropped_;
    std::string buffer_;
    double allowance_;
    std::int64_t last_us_{0};
    std::uint64_t dropped_{0};
    std::uint64_t reported_{0};
};

} // namespace clementinegap
