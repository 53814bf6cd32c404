#include "routing/configuration_catch_up.h"

namespace clementinegap {

std::optional<std::string> configuration_catch_up::on_report(const std::string& peer,
                                                             std::uint64_t peer_version,
                                                             std::uint64_t own_version, time_point now)
{
    if (peer_version <= own_version) {
        return std::nullopt;
    }
    if (awaited_version_ <= own_version) {
        awaited_version_ = peer_version;
        awaited_since_ = now;
    }
    const auto grace = now - started_ < startup_time ? duration::zero() : feed_grace;
    if (now - awaited_since_ < grace || now < next_request_) {
        return std::nullopt;
    }
    next_request_ = now + retry_interval;
    return peer;
}

} // namespace clementinegap
