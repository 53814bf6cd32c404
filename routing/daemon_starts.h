#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>

namespace clementinegap {

/// Notices that other daemons have started, which know nothing of what was published before.
class daemon_starts {
public:
    /// A report of this process of a daemon. \returns whether it has started since the last report.
    bool heard(const std::string& daemon, std::uint64_t incarnation);
    /// The other daemons that are registered. \returns whether one of them was not before.
    bool registered(std::span<const std::string> daemons);

private:
    std::map<std::string, std::uint64_t> incarnations_;
    std::set<std::string> registered_;
};

} // namespace clementinegap
