#pragma once

#include "config/configuration.h"

#include <string>
#include <vector>

namespace clementinegap {

/// What is different between two configurations, one line for each value: its path, before and after. The
/// version is not a difference.
std::vector<std::string> describe_changes(const configuration& before, const configuration& after);

} // namespace clementinegap
