#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `config generate|check|submit|show`.
exit_code config_command(const std::vector<std::string>& words);

/// `questionnaire check`.
exit_code questionnaire_command(const std::vector<std::string>& words);

} // namespace clementinegap
