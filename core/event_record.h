#pragma once

#include "core/time.h"

#include <string>

namespace clementinegap {

/// A timeline event as emitted by decision code. The daemon adds its hybrid logical timestamp and VM name.
struct event_record {
    std::string kind;       ///< Dotted event name such as "request.granted".
    std::string request_id; ///< Empty for events without a request.
    std::string class_name;
    std::string workspace;
    std::string upstream;
    std::string detail; ///< Readable reason of the decision.
};

} // namespace clementinegap
