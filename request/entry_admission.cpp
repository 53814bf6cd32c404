#include "request/entry_admission.h"

#include "core/digest.h"
#include "request/execution_state.h"
#include "request/shutdown_schedule.h"

#include <algorithm>

namespace clementinegap {

void entry_admission::index_configuration()
{
    workspaces_by_key_.clear();
    classes_by_name_.clear();
    for (const auto& item : context_.rules->workspaces) {
        workspaces_by_key_.emplace(item.key_sha256, &item);
    }
    for (const auto& item : context_.rules->classes) {
        classes_by_name_.emplace(item.name, &item);
    }
}

const workspace* entry_admission::workspace_of(const std::string& key_sha256) const
{
    // The table is keyed by hashes, so a hash learned from lookup timing does not help to find a key.
    const auto found = workspaces_by_key_.find(key_sha256);
    const bool matches =
        found != workspaces_by_key_.end() && equal_constant_time(found->second->key_sha256, key_sha256);
    return matches ? found->second : nullptr;
}

const request_class* entry_admission::class_of(const caller_request& input) const
{
    if (input.class_name.empty()) {
        return context_.rules->classify(input.path, input.model);
    }
    const auto found = classes_by_name_.find(input.class_name);
    return found == classes_by_name_.end() ? nullptr : found->second;
}

std::optional<failure_notice> entry_admission::refusal_of(const caller_request& input,
                                                          const upstream_map& upstreams,
                                                          const request_table& open_requests,
                                                          bool draining) const
{
    if (context_.rules == nullptr) {
        return refusal(result_code::not_ready, input, default_retry_after);
    }
    if (has_ended(context_.rules->shutdown, context_.now)) {
        return refusal(result_code::shut_down, input, duration::zero());
    }
    if (draining) {
        return refusal(result_code::leaving, input, default_retry_after);
    }
    if (workspace_of(input.key_sha256) == nullptr) {
        return failure_notice{result_code::unauthorized, ran_state::no, duration::zero(), ""};
    }
    if (!input.bad_header.empty()) {
        return failure_notice{result_code::bad_header, ran_state::no, duration::zero(), input.bad_header};
    }
    if (input.path == models_path) {
        return std::nullopt;
    }
    if (input.malformed) {
        return failure_notice{result_code::malformed_body, ran_state::no, duration::zero(), ""};
    }
    const auto* rules = class_of(input);
    if (rules == nullptr) {
        return failure_notice{result_code::unknown_class, ran_state::no, duration::zero(), ""};
    }
    if (!input.model.empty() && !is_known_model(input.model, *context_.rules, upstreams)) {
        return failure_notice{result_code::unknown_model, ran_state::no, duration::zero(), ""};
    }
    if (rules->key_required && input.idempotency_key.empty()) {
        return failure_notice{result_code::key_required, ran_state::no, duration::zero(), ""};
    }
    if (!admits(context_.rules->shutdown, *rules, context_.now)) {
        return refusal(result_code::shut_down, input, duration::zero());
    }
    if (open_requests.full() && open_requests.waiting_below(rules->tier) == nullptr) {
        return refusal(result_code::table_full, input, default_retry_after);
    }
    return std::nullopt;
}

std::optional<failure_notice> entry_admission::charge_limits(const workspace& owner,
                                                             const request_class& rules)
{
    for (const auto& limit : owner.limits) {
        if (!limit.class_name.empty() && limit.class_name != rules.name) {
            continue;
        }
        if (report_timer_ == 0) {
            report_timer_ = context_.timers.schedule(context_.now + rate_limiter::report_interval(),
                                                     [this](time_point) { report_demand(); });
        }
        const auto wait = limits_.refuse(owner.name + '\n' + limit.class_name,
                                         {limit.requests_per_second, limit.burst}, context_.now);
        if (wait) {
            return failure_notice{result_code::rate_limited, ran_state::no, *wait, ""};
        }
    }
    return std::nullopt;
}

void entry_admission::report_demand()
{
    report_timer_ = 0;
    auto items = limits_.reports_due(context_.now);
    for (auto& item : items) {
        context_.act(publish_item{std::move(item)});
    }
    if (!items.empty()) {
        report_timer_ = context_.timers.schedule(context_.now + rate_limiter::report_interval(),
                                                 [this](time_point) { report_demand(); });
    }
}

failure_notice entry_admission::refusal(result_code code, const caller_request& input,
                                        duration retry_after) const
{
    // Without a configuration the class is unknown, so any key may identify a run.
    const auto* rules = context_.rules == nullptr ? nullptr : class_of(input);
    const bool keyed = rules == nullptr ? !input.idempotency_key.empty() : is_keyed_run(*rules, input);
    return {code, keyed ? execution_state_for_key(code, ran_state::no) : ran_state::no, retry_after, ""};
}

entry_request_ptr entry_admission::admit(const caller_request& input, const workspace& owner,
                                         const request_class& rules) const
{
    auto request = std::make_shared<entry_request>();
    request->input = input;
    request->id = context_.new_request_id();
    request->rules = rules;
    request->workspace = owner.name;
    request->workspace_weight = owner.weight;
    request->fingerprint = sha256_hex({owner.name, input.path, input.body});
    request->arrived = context_.now;
    request->deadline_at = context_.now + std::min(rules.deadline, input.deadline.value_or(rules.deadline));
    request->deadline_at = std::min(request->deadline_at, context_.rules->shutdown.ends_at.value_or(never));
    request->target_at = context_.now + rules.first_token_target;
    return request;
}

} // namespace clementinegap
