#pragma once

#include "cluster/cluster_messages.h"

#include <optional>

namespace clementinegap {

namespace wire {
class overlay_message;
} // namespace wire

void encode(const cluster_message& message, wire::overlay_message& out);

/// Nothing for a message without a body, such as one of a newer daemon, and for a hello.
std::optional<cluster_message> decode(const wire::overlay_message& in);

} // namespace clementinegap
