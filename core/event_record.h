#pragma once

#include "core/time.h"

#include <string>

namespace clementinegap {

/// One event of the time line, as decision code emits it; the daemon adds its hybrid logical time and VM.
struct event_record {
    std::string kind;       ///< What happened, a dotted name such as "request.granted".
    std::string request_id; ///< Empty for events that belong to no request.
    std::string class_name;
    std::string workspace;
    std::string upstream;
    std::string detail; ///< The reason of a decision, in plain words.
};

} // namespace clementinegap
