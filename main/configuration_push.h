#pragma once

#include "adapters/peer_credentials.h"
#include "cluster/configuration_sync.h"
#include "core/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace clementinegap {

/// Hands an accepted configuration to daemons over the overlay, so that it spreads also when the table fails
/// right after it took it. Returns how many of `addresses` have it within `patience`.
std::size_t push_configuration(const std::vector<std::string>& addresses, const peer_credentials& credentials,
                               const configuration_head& head, const std::string& text, duration patience);

} // namespace clementinegap
