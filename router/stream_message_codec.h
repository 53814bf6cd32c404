#pragma once

#include "core/outcome.h"
#include "routing/router_events.h"

#include <string>
#include <string_view>

namespace clementinegap {

/// Encodes a datagram between entry daemons about the origin of a stream as MessagePack.
/// \param daemon name of the sender.
std::string encode_stream_message(std::string_view daemon, const stream_message& message);
/// \returns `internal` for malformed bytes or another layout version.
outcome<stream_message_received> decode_stream_message(std::string_view bytes);

} // namespace clementinegap
