#pragma once

#include "config/configuration.h"

#include <string>
#include <string_view>

namespace clementinegap {

/// Builds a request class. Setters return the builder, so that calls can be chained.
class class_builder {
public:
    class_builder(std::string name, std::string model);

    class_builder& team(std::string name);
    class_builder& tier(int value);
    class_builder& idempotent();
    /// Requests run at most once; with `key_required` callers must send an Idempotency-Key.
    class_builder& never_repeat(bool key_required);
    class_builder& served_by_service();
    class_builder& first_token_target(duration value);
    class_builder& token_interval_target(duration value);
    class_builder& deadline(duration value);
    class_builder& longest_run(duration value);
    class_builder& quantum_tokens(std::uint32_t value);
    class_builder& starvation_bound(duration value);

    request_class build() const { return value_; }

private:
    request_class value_;
};

/// Builds a configuration and applies the same validation as `configuration_from_json`.
class configuration_builder {
public:
    configuration_builder& version(std::uint64_t value);
    configuration_builder& add(const class_builder& item);
    configuration_builder& add(request_class item);
    /// Adds a workspace whose bearer key has this SHA-256.
    configuration_builder& add_workspace(std::string name, std::string key_sha256, double weight = 1);
    configuration_builder& add(workspace item);
    /// Assigns the class `class_name` to requests under `path_prefix` without a class header.
    configuration_builder& route(std::string path_prefix, std::string class_name);
    configuration_builder& ends_at(time_point at);

    /// The configuration in canonical order: classes and workspaces by name, the most specific rule first.
    /// Fails with `invalid_configuration` and a list of all faults.
    outcome<configuration> build() const;

private:
    configuration value_;
};

} // namespace clementinegap
