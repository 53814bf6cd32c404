#include "request/attempt_table.h"

namespace clementinegap {

attempt_id attempt_table::open(const entry_request_ptr& request, const std::string& vm)
{
    const attempt_id attempt{incarnation_, ++last_number_};
    requests_.emplace(attempt, request);
    by_vm_[vm].insert(attempt);
    return attempt;
}

void attempt_table::close(const std::string& vm, attempt_id attempt)
{
    requests_.erase(attempt);
    const auto found = by_vm_.find(vm);
    if (found == by_vm_.end()) {
        return;
    }
    found->second.erase(attempt);
    if (found->second.empty()) {
        by_vm_.erase(found);
    }
}

entry_request_ptr attempt_table::find(attempt_id attempt) const
{
    const auto found = requests_.find(attempt);
    return found == requests_.end() ? nullptr : found->second;
}

std::set<attempt_id> attempt_table::at(const std::string& vm) const
{
    const auto found = by_vm_.find(vm);
    return found == by_vm_.end() ? std::set<attempt_id>() : found->second;
}

} // namespace clementinegap
