#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace clementinegap {

/// The software that began a stream. What two versions of it write does not fit together, so only upstreams
/// of the same service and version can continue the stream.
struct stream_origin {
    std::string service;
    std::string software_version; ///< Empty: not known, so that nothing can continue the stream.
    bool operator==(const stream_origin&) const = default;
};

/// Identifies a stream by the request that brought its first event.
using stream_key = std::uint64_t;

/// A daemon began a stream; the receiver keeps a copy of the origin.
struct origin_copy {
    stream_key stream{0};
    stream_origin origin;
    bool operator==(const origin_copy&) const = default;
};

/// A daemon was asked to continue a stream that it does not know.
struct origin_question {
    stream_key stream{0};
    std::string service; ///< Of the route on which the caller asks.
    bool operator==(const origin_question&) const = default;
};

/// The answer to a question.
struct origin_answer {
    stream_key stream{0};
    std::optional<stream_origin> origin; ///< Nothing: the daemon does not know the stream.
    /// The versions of the service that the daemon has seen lately.
    std::vector<std::string> versions;
    /// Whether it has watched for as long as a stream may be taken up, so that there were no others.
    bool are_all_versions{false};
    bool operator==(const origin_answer&) const = default;
};

/// What daemons tell each other about the origins of streams.
using stream_message = std::variant<origin_copy, origin_question, origin_answer>;

} // namespace clementinegap
