#pragma once

#include "request/entry_request.h"

#include <map>
#include <set>
#include <string>

namespace clementinegap {

/// The open attempts of an entry daemon, by number and by upstream: reservations, running attempts, hedges.
class attempt_table {
public:
    explicit attempt_table(std::uint64_t incarnation) : incarnation_(incarnation) {}

    /// Opens an attempt of the request at an upstream and returns its id, which is never reused.
    attempt_id open(const entry_request_ptr& request, const std::string& vm);
    void close(const std::string& vm, attempt_id attempt);

    /// The request that the attempt belongs to; nullptr once it is closed.
    entry_request_ptr find(attempt_id attempt) const;
    /// The attempts at one upstream, oldest first.
    std::set<attempt_id> at(const std::string& vm) const;

private:
    std::uint64_t incarnation_;
    std::uint64_t last_number_{0};
    std::map<attempt_id, entry_request_ptr> requests_;
    std::map<std::string, std::set<attempt_id>, std::less<>> by_vm_;
};

} // namespace clementinegap
