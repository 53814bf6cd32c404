#pragma once

#include <string>
#include <vector>

namespace clementinegap::testing {

/// Answers that are broken, each in one place. \param fields lines that each of their heads has.
std::vector<std::string> broken_answers(const std::string& fields = "");

} // namespace clementinegap::testing
