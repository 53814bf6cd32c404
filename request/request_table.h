#pragma once

#include "request/entry_request.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace clementinegap {

/// The open requests of an entry daemon, by their caller, up to a bound.
class request_table {
public:
    explicit request_table(std::size_t bound) : bound_(bound) {}

    void add(const entry_request_ptr& request) { requests_.emplace(request->input.caller, request); }
    void erase(caller_id caller) { requests_.erase(caller); }
    /// \returns nullptr if there is none.
    entry_request_ptr find(caller_id caller) const;
    std::size_t size() const { return requests_.size(); }
    bool empty() const { return requests_.empty(); }
    bool full() const { return requests_.size() >= bound_; }

    /// The waiting request of the lowest tier below `tier`, the last to arrive; nullptr without one.
    entry_request_ptr waiting_below(int tier) const;
    /// The requests that fulfil the condition, in the order of their ids.
    template <class Condition> std::vector<entry_request_ptr> where(const Condition& fulfilled) const;

private:
    static std::vector<entry_request_ptr> sorted(std::vector<entry_request_ptr> requests);

    std::size_t bound_;
    std::unordered_map<caller_id, entry_request_ptr> requests_;
};

template <class Condition>
std::vector<entry_request_ptr> request_table::where(const Condition& fulfilled) const
{
    std::vector<entry_request_ptr> result;
    for (const auto& [caller, request] : requests_) {
        if (fulfilled(*request)) {
            result.push_back(request);
        }
    }
    return sorted(std::move(result));
}

} // namespace clementinegap
