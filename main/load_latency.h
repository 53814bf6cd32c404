#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `load latency DIRECT_URL ENTRY_URL KEY [RATE SECONDS TOKENS]`: the same requests to an engine directly and
/// through an entry, interleaved in one run, and what the path adds.
exit_code load_latency_command(const std::vector<std::string>& words);

/// `load throughput KEY RATE SECONDS TOKENS ENTRY_URL...`: what arrives of an open-loop load.
exit_code load_throughput_command(const std::vector<std::string>& words);

} // namespace clementinegap
