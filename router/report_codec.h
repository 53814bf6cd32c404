#pragma once

#include "core/outcome.h"
#include "routing/router_events.h"

#include <span>
#include <string>
#include <string_view>

namespace clementinegap {

/// The datagram between entry daemons: a load report with the soft state that changed lately, as MessagePack.
std::string encode_report(const load_report& report, std::span<const soft_state_item> items);
outcome<load_reported> decode_report(std::string_view bytes);

} // namespace clementinegap
