#pragma once

#include <string_view>

namespace clementinegap {

/// The empty questionnaire that `questionnaire new` prints; examples/empty.questionnaire.json is the same.
std::string_view empty_questionnaire();

} // namespace clementinegap
