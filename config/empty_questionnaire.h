#pragma once

#include <string_view>

namespace clementinegap {

/// The empty questionnaire printed by `questionnaire new`; identical to examples/empty.questionnaire.json.
std::string_view empty_questionnaire();

} // namespace clementinegap
