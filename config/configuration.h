#pragma once

#include "core/checked_json.h"
#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// The configuration that is generated from the questionnaires and applied by every daemon.

namespace clementinegap {

inline constexpr int max_tiers = 7;

/// How a request with an unknown outcome may be retried.
enum class repeat_rule : std::uint8_t {
    idempotent, ///< May be retried and hedged.
    repeatable, ///< May be retried but not hedged.
    never       ///< Runs at most once.
};

/// A request class: the requests that share a target, a tier and a repeat rule.
struct request_class {
    std::string name;
    std::string team; ///< The team whose questionnaire claims the class.
    int tier{0};      ///< Priority: 0 is served first, `max_tiers - 1` last.
    repeat_rule repeat{repeat_rule::repeatable};
    bool key_required{false};
    std::string model; ///< The model or service that serves the class.
    bool is_service{false};
    duration first_token_target{seconds(1)}; ///< For services: until the response begins.
    duration token_interval_target{milliseconds(50)};
    duration deadline{seconds(60)};         ///< From arrival to the end of the response.
    duration longest_run{seconds(60)};      ///< Running time that the shutdown plan reserves for a request.
    std::uint32_t quantum_tokens{256};      ///< Tokens after which work yields to short work of its tier.
    duration starvation_bound{seconds(30)}; ///< An unserved class is given one time slice after this time.
    bool operator==(const request_class&) const = default;
};

/// Rate limit of a workspace for one class: a token bucket for the whole deployment.
struct rate_limit {
    std::string class_name; ///< Empty: all classes together.
    double requests_per_second{0};
    double burst{1};
    bool operator==(const rate_limit&) const = default;
};

/// A workspace of callers, identified by its bearer key.
struct workspace {
    std::string name;
    std::string key_sha256;
    double weight{1};
    std::vector<rate_limit> limits;
    bool operator==(const workspace&) const = default;
};

/// Assigns a class to requests without a class header.
struct class_rule {
    std::string path_prefix;
    std::string model; ///< Empty: any model.
    std::string class_name;
    bool operator==(const class_rule&) const = default;
};

/// The announced end of the service.
struct shutdown_plan {
    std::optional<time_point> ends_at;
    bool operator==(const shutdown_plan&) const = default;
};

/// A complete configuration. It is immutable once accepted, and versions only increase.
struct configuration {
    std::uint64_t version{0};
    std::vector<request_class> classes;
    std::vector<workspace> workspaces;
    std::vector<class_rule> rules;
    shutdown_plan shutdown;

    const request_class* find_class(std::string_view name) const;
    const workspace* find_workspace(std::string_view name) const;
    const workspace* find_workspace_by_key(std::string_view key_sha256) const;
    /// The class that the rules assign to a request without a class header; nullptr if no rule matches.
    const request_class* classify(std::string_view path, std::string_view model) const;
    bool operator==(const configuration&) const = default;
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// The canonical JSON form; equal configurations give equal text.
json to_json(const configuration& value);

/// Parses and validates the JSON form. Fails with `invalid_configuration` and a list of all faults.
outcome<configuration> configuration_from_json(std::string_view text);

/// SHA-256 of the canonical text, sent with the version so that a copy can be verified.
std::string configuration_hash(const configuration& value);

std::string_view to_string(repeat_rule rule);

} // namespace clementinegap
