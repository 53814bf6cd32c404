#pragma once

#include "core/time.h"
#include "routing/stream_origin.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementinegap {

/// The origins of streams that began lately, at this daemon or at one that sent it a copy. Callers take a
/// stream up at any daemon, also when the one that began it has been killed, so each origin is copied to a
/// few daemons that every other daemon finds by the stream's key.
class stream_origins {
public:
    static stream_key key_of(std::string_view request_id);

    void add(stream_key stream, const stream_origin& origin, time_point now);
    /// This daemon had an upstream begin the stream.
    void began_here(stream_key stream, std::string_view upstream, time_point now);
    /// The streams that the upstream has begun for this daemon of late. If it turns out to have started again
    /// meanwhile, it is not known which of its processes did.
    std::vector<stream_key> begun_lately_at(std::string_view upstream) const;
    /// nullptr for a stream that is not known.
    const stream_origin* find(stream_key stream) const;
    void expire(time_point now);
    std::size_t size() const { return origins_.size(); }

    /// The first `count` daemons in the order in which they keep the origin of this stream.
    static std::vector<std::string> keepers(stream_key stream, std::span<const std::string> daemons,
                                            std::size_t count);

private:
    /// Longer than callers wait for a stream with all of their attempts.
    static constexpr duration lifetime = seconds(60);
    /// Some megabytes. The oldest are dropped first.
    static constexpr std::size_t max_origins = 50000;

    /// Longer than it takes until the directory shows that an upstream has started again.
    static constexpr duration listing_delay = seconds(5);

    struct begun_stream {
        time_point at;
        std::string upstream;
        stream_key stream{0};
    };
    using shared_origin = std::shared_ptr<const stream_origin>;

    std::unordered_map<stream_key, shared_origin> origins_;
    std::deque<std::pair<time_point, stream_key>> by_age_;
    std::deque<begun_stream> begun_here_; ///< By age.
    /// All origins of a version share one object.
    std::map<std::pair<std::string, std::string>, std::weak_ptr<const stream_origin>> shared_;
};

} // namespace clementinegap
