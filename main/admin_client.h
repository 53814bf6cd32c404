#pragma once

#include "adapters/http_client.h"
#include "core/outcome.h"
#include "main/command_options.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinegap {

/// One daemon as the command line knows it.
struct admin_target {
    std::string vm; ///< Empty when only its address was given.
    std::string role;
    std::string zone;
    std::string region;
    std::string url; ///< Of its admin address; empty when the platform lists none.
    bool leaving{false};
};

/// What a daemon's admin address answered; status 0 when it could not be reached.
struct admin_answer {
    std::uint16_t status{0};
    std::string body;
};

/// Calls to the admin addresses of daemons; many at a time.
class admin_client {
public:
    /// The daemons that `--platform` lists and `--admin` names; a fault says what to give.
    outcome<std::vector<admin_target>> targets(const parsed_words& words);

    /// Asks all targets for one path at the same time; answers in the order of the targets.
    std::vector<admin_answer> ask(const std::vector<admin_target>& targets, std::string_view path,
                                  std::string_view method = "GET");

private:
    http_client client_;
};

} // namespace clementinegap
