#pragma once

#include "policy/rate_limiter.h"
#include "request/entry_context.h"
#include "request/failure_response.h"
#include "request/model_list.h"
#include "request/request_table.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinegap {

/// Decides whether a request is admitted: keys, classes, models, the announced shutdown, limits of
/// workspaces and table capacity. Its cost does not grow with the number of open requests.
class entry_admission {
public:
    explicit entry_admission(entry_context& context) : context_(context), limits_(context.settings.vm) {}

    /// Rebuilds the indexes of keys and classes from the current configuration.
    void index_configuration();
    void on_soft_state(const soft_state_item& item) { limits_.soft_state_received(item, context_.now); }

    /// Why the request cannot be admitted; nullopt when it can.
    std::optional<failure_notice> refusal_of(const caller_request& input, const upstream_map& upstreams,
                                             const request_table& open_requests, bool draining) const;
    /// Charges the limits of the workspace; returns a refusal when one is exhausted. Call only after
    /// `refusal_of`.
    std::optional<failure_notice> charge_limits(const workspace& owner, const request_class& rules);
    /// Call only for a request that `refusal_of` accepts.
    entry_request_ptr admit(const caller_request& input, const workspace& owner,
                            const request_class& rules) const;

    const workspace* workspace_of(const std::string& key_sha256) const;
    const request_class* class_of(const caller_request& input) const;

private:
    failure_notice refusal(result_code code, const caller_request& input, duration retry_after) const;
    void report_demand();

    entry_context& context_;
    std::unordered_map<std::string_view, const workspace*> workspaces_by_key_;
    std::unordered_map<std::string_view, const request_class*> classes_by_name_;
    rate_limiter limits_;
    timer_service::timer_id report_timer_{0};
};

} // namespace clementinegap
