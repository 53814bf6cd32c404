#include "observability/bounded_output.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace clementinegap {

bounded_output::bounded_output(int descriptor, std::size_t buffer_bytes, std::size_t bytes_per_second,
                               dropped_line on_dropped)
    : descriptor_(descriptor), buffer_bytes_(buffer_bytes), bytes_per_second_(bytes_per_second),
      on_dropped_(std::move(on_dropped)), allowance_(static_cast<double>(bytes_per_second))
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        (void)fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void bounded_output::append(std::string_view line)
{
    if (buffer_.size() + line.size() > buffer_bytes_ || allowance_ < static_cast<double>(line.size())) {
        ++dropped_;
        return;
    }
    allowance_ -= static_cast<double>(line.size());
    buffer_.append(line);
}

void bounded_output::flush(std::int64_t now_us)
{
    constexpr double microseconds_per_second = 1e6;
    const auto rate = static_cast<double>(bytes_per_second_);
    if (last_us_ != 0) {
        const auto elapsed = static_cast<double>(now_us - last_us_) / microseconds_per_second;
        allowance_ = std::min(rate, allowance_ + rate * elapsed);
    }
    last_us_ = now_us;
    if (dropped_ != reported_ && buffer_.size() < buffer_bytes_ / 2) {
        buffer_.append(on_dropped_(dropped_ - reported_, now_us));
        reported_ = dropped_;
    }
    while (!buffer_.empty()) {
        const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written <= 0) {
            // The reader is slow or gone; what stays is tried again at the next flush.
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace clementinegap
