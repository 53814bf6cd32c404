#include "config/configuration_builder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace clementinegap {

class_builder::class_builder(std::string name, std::string model)
{
    value_.name = std::move(name);
    value_.model = std::move(model);
}

class_builder& class_builder::team(std::string name)
{
    value_.team = std::move(name);
    return *this;
}

class_builder& class_builder::tier(int value)
{
    value_.tier = value;
    return *this;
}

class_builder& class_builder::idempotent()
{
    value_.repeat = repeat_rule::idempotent;
    return *this;
}

class_builder& class_builder::never_repeat(bool key_required)
{
    value_.repeat = repeat_rule::never;
    value_.key_required = key_required;
    return *this;
}

class_builder& class_builder::served_by_service()
{
    value_.is_service = true;
    return *this;
}

class_builder& class_builder::first_token_target(duration value)
{
    value_.first_token_target = value;
    return *this;
}

class_builder& class_builder::token_interval_target(duration value)
{
    value_.token_interval_target = value;
    return *this;
}

class_builder& class_builder::deadline(duration value)
{
    value_.deadline = value;
    return *this;
}

class_builder& class_builder::longest_run(duration value)
{
    value_.longest_run = value;
    return *this;
}

class_builder& class_builder::quantum_tokens(std::uint32_t value)
{
    value_.quantum_tokens = value;
    return *this;
}

class_builder& class_builder::starvation_bound(duration value)
{
    value_.starvation_bound = value;
    return *this;
}

configuration_builder& configuration_builder::version(std::uint64_t value)
{
    value_.version = value;
    return *this;
}

configuration_builder& configuration_builder::add(const class_builder& item)
{
    return add(item.build());
}

configuration_builder& configuration_builder::add(request_class item)
{
    value_.classes.push_back(std::move(item));
    return *this;
}

configuration_builder& configuration_builder::add_workspace(std::string name, std::string key_sha256,
                                                            double weight)
{
    return add(workspace{std::move(name), std::move(key_sha256), weight, {}});
}

configuration_builder& configuration_builder::add(workspace item)
{
    value_.workspaces.push_back(std::move(item));
    return *this;
}

configuration_builder& configuration_builder::route(std::string path_prefix, std::string class_name)
{
    value_.rules.push_back({std::move(path_prefix), "", std::move(class_name)});
    return *this;
}

configuration_builder& configuration_builder::ends_at(time_point at)
{
    value_.shutdown.ends_at = at;
    return *this;
}

outcome<configuration> configuration_builder::build() const
{
    auto result = value_;
    std::ranges::sort(result.classes, {}, &request_class::name);
    std::ranges::sort(result.workspaces, {}, &workspace::name);
    // The longest prefix is the most specific rule and goes first.
    std::ranges::sort(result.rules, {}, [](const class_rule& rule) {
        return std::tuple(-static_cast<std::ptrdiff_t>(rule.path_prefix.size()), rule.path_prefix,
                          rule.class_name);
    });
    return configuration_from_json(to_json(result).dump());
}

} // namespace clementinegap
