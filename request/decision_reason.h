#pragma once

#include "policy/upstream_view.h"
#include "request/entry_request.h"
#include "request/messages.h"

#include <string>
#include <string_view>

/// \file
/// The reasons of an entry's decisions, for the details of the time line. The texts contain numbers and names
/// from the configuration, never a part of a request's body.

namespace clementinegap {

/// Under which rules the request was admitted.
std::string admission_reason(const entry_request& request);

/// The state of the upstream, as last reported, when the slot was requested.
std::string reservation_reason(const upstream_view& view, std::string_view own_zone);

/// Whether the first token was in time.
std::string target_reason(const entry_request& request);

/// The reason that the upstream daemon reported.
std::string refusal_reason(const refused_message& message);

} // namespace clementinegap
