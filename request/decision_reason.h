#pragma once

#include "policy/upstream_view.h"
#include "request/entry_request.h"
#include "request/messages.h"

#include <string>
#include <string_view>

/// \file
/// The reasons of an entry's decisions, as the time line's details give them. The texts hold figures and
/// names that the configuration gives, never a part of a request's body.

namespace clementinegap {

/// Under which rules the request was admitted.
std::string admission_reason(const entry_request& request);

/// What the entry knew of the upstream when it asked for a slot.
std::string reservation_reason(const upstream_view& view, std::string_view own_zone);

/// Whether the first token was in time.
std::string target_reason(const entry_request& request);

/// What an upstream daemon gave as its reason.
std::string refusal_reason(const refused_message& message);

} // namespace clementinegap
