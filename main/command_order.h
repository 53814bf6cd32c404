#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `order --platform URL --daemon ADMIN_URL VM KIND NAME`: takes the lease of the VM's engine, orders through
/// its daemon, gives the lease back.
exit_code order_command(const std::vector<std::string>& words);

} // namespace clementinegap
