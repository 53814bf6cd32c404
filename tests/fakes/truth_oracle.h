#pragma once

#include "fakes/fake_deployment.h"

#include <map>
#include <string>
#include <vector>

namespace clementinegap {

/// Watches a fake deployment from outside, by what callers were told and what the engines' ledgers count, and
/// says which invariant is broken. Bodies must be unique, except of resends under one key.
class truth_oracle {
public:
    explicit truth_oracle(fake_deployment& deployment) : deployment_(deployment) {}

    /// Sends through the deployment and remembers what the answer must be.
    caller_id send(const std::string& entry, const caller_request& request, bool never_repeat);

    /// Every fault found so far; call it after each step.
    const std::vector<std::string>& check();
    /// Also demands that nothing is open any more.
    const std::vector<std::string>& check_end();

    int executions_of(const std::string& body) const;

private:
    struct sent_request {
        caller_id caller{0};
        std::string body;
        std::string key; ///< Empty unless the request is keyed and never-repeat.
        bool never_repeat{false};
        std::string expected;
        std::size_t checked_bytes{0};
        bool closed{false};
        int ran_before{0}; ///< Runs that earlier sends of the body account for; a request without a key is its own.
    };

    void check_answer(sent_request& request);
    void check_end_of(sent_request& request, const transcript& seen);
    void check_ledger();
    int executions_under(const std::string& key) const;
    void fault(const sent_request& request, const std::string& text);

    fake_deployment& deployment_;
    std::vector<sent_request> sent_;
    std::map<std::string, std::vector<std::string>> bodies_of_key_;
    std::map<std::string, int> told_not_run_; ///< Body to the runs that it had when its caller was told.
    std::uint64_t starts_seen_{0};
    std::vector<std::string> faults_;
};

/// The whole answer that the fake engine gives for a body, as a caller receives it.
std::string expected_answer(const std::string& body);

} // namespace clementinegap
