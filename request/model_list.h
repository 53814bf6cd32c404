#pragma once

#include "config/configuration.h"
#include "policy/upstream_view.h"
#include "request/entry_events.h"

#include <map>
#include <string>
#include <string_view>

/// \file
/// Which models callers may ask for.

namespace clementinegap {

using upstream_map = std::map<std::string, upstream_view, std::less<>>;

/// The path that lists the models.
inline constexpr std::string_view models_path = "/v1/models";

/// Whether a class of the configuration or an upstream that ever connected serves `model`. A model whose
/// upstreams are unreachable stays known, so that its callers receive a retryable refusal.
bool is_known_model(std::string_view model, const configuration& rules, const upstream_map& upstreams);

/// The response to `models_path`: the models of the connected upstreams, each once, sorted by name.
full_response model_list_response(caller_id caller, const upstream_map& upstreams,
                                  std::string_view request_id);

} // namespace clementinegap
