#pragma once

#include "core/outcome.h"
#include "routing/router_events.h"

#include <span>
#include <string>
#include <string_view>

namespace clementinegap {

/// Encodes the datagram between entry daemons as MessagePack: a load report and the soft state that changed
/// recently.
std::string encode_report(const load_report& report, std::span<const soft_state_item> items);
/// \returns `internal` for malformed bytes or another layout version.
outcome<load_reported> decode_report(std::string_view bytes);

} // namespace clementinegap
