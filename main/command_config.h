#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `config generate|check|diff|submit|show|history`.
exit_code config_command(const parsed_words& words);

/// `questionnaire new|check|show`.
exit_code questionnaire_command(const parsed_words& words);

} // namespace clementinegap
