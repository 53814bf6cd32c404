#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace clementinegap {

enum class metric_kind : std::uint8_t { counter, gauge, histogram };

/// One metric of the daemons, as registered and as documented in docs/metrics.md.
struct metric_definition {
    std::string_view name;
    metric_kind kind;
    std::string_view labels; ///< Separated by commas; empty without.
    std::string_view help;
};

/// All metrics, by name; nothing else is exposed.
std::span<const metric_definition> metric_table();

/// The row of `name`; nullptr for a name that is not in the table.
const metric_definition* find_metric(std::string_view name);

std::string_view to_string(metric_kind kind);

} // namespace clementinegap
