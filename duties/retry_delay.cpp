#include "duties/retry_delay.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr duration first_delay = milliseconds(250);
constexpr duration longest_delay = seconds(2);
constexpr unsigned doublings = 3;
/// The delay varies by this part of it, so that daemons that failed together do not retry together.
constexpr int jitter_percent = 20;

} // namespace

duration retry_delay::failed()
{
    const auto delay = std::min(first_delay * (1 << std::min(failures_, doublings)), longest_delay);
    ++failures_;
    std::uniform_int_distribution<int> percent(100 - jitter_percent, 100);
    return delay * percent(random_) / 100;
}

} // namespace clementinegap
