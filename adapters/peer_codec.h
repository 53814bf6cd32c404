#pragma once

#include "adapters/proto/peer.pb.h"
#include "request/messages.h"

#include <optional>

/// \file
/// Between the typed messages of request/ and their protobuf form.

namespace clementinegap {

void encode(const entry_message& message, wire::entry_message& target);
void encode(const upstream_message& message, wire::upstream_message& target);

/// Nothing for a message without a known body, which a newer version may send.
std::optional<entry_message> decode(const wire::entry_message& message);
std::optional<upstream_message> decode(const wire::upstream_message& message);

} // namespace clementinegap
