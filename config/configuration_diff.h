#pragma once

#include "config/configuration.h"

#include <string>
#include <vector>

namespace clementinegap {

/// Lists the differences between two configurations, one line per value: path, old and new value. The version
/// is not compared.
std::vector<std::string> describe_changes(const configuration& before, const configuration& after);

} // namespace clementinegap
