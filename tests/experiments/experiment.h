#pragma once

#include "config/configuration.h"
#include "core/time.h"
#include "fakes/fake_engine.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Descriptions of quick experiments: a load, a deployment and faults, all derived from one seed.

namespace clementinegap {

/// One request class with the load that it brings.
struct class_load {
    request_class rules;
    double requests_per_second{0}; ///< At demand 1, over all workspaces.
    double median_tokens{20};
    double sigma{0.5}; ///< Of the log-normal output length; larger means a heavier tail.
    std::uint32_t max_tokens{4000};
    double limit{0}; ///< A workspace may send this multiple of its ordinary load; 0: no limit.
};

/// One workspace with its part of every class's load.
struct workspace_load {
    std::string name;
    double share{1};
};

/// From `from` to `to` the load of a class or workspace (or of all, with empty names) is multiplied.
struct demand_swing {
    duration from{0};
    duration to{0};
    double factor{1};
    std::string class_name;
    std::string workspace;
};

enum class fault_kind : std::uint8_t {
    slow,         ///< Engine times are multiplied by `value`.
    crash,        ///< The upstream VM dies.
    restart,      ///< It comes back empty.
    store_outage, ///< The table refuses everything when `value` is not zero.
    drain         ///< A planned stop begins.
};

struct experiment_fault {
    duration at{0};
    fault_kind kind{fault_kind::slow};
    std::string vm;
    double value{1};
};

/// A load, a deployment and faults; running it twice with one seed gives the same figures.
struct experiment {
    std::string name;
    std::uint64_t seed{1};
    duration length{seconds(12)};      ///< How long requests arrive.
    duration settle_time{seconds(60)}; ///< How long the last ones may take to end.
    int entries{4};
    int upstreams{12};
    int zones{4};
    std::uint32_t slots{8};
    duration token_interval{milliseconds(20)};
    duration prefill{milliseconds(20)};
    std::vector<class_load> classes;
    std::vector<workspace_load> workspaces;
    std::vector<demand_swing> swings;
    std::vector<experiment_fault> faults;
    duration measured_from{0}; ///< First-token percentiles count requests sent from here on.
    duration window_from{0};   ///< Goodput is measured in this window.
    duration window_to{0};     ///< Zero: the whole length.
    std::string poison;        ///< A body that crashes each engine that runs it; empty for none.

    class_load& load_of(const std::string& class_name);
};

/// One arrival of the load.
struct arrival {
    duration at{0};
    std::size_t class_index{0};
    std::size_t workspace_index{0};
    std::uint32_t tokens{1};
    int entry{0};
    bool poisoned{false};
};

/// The arrivals of an experiment in order of time: the same for every policy that is compared.
std::vector<arrival> arrivals_of(const experiment& about);

/// Tokens per second that the engines can produce.
double capacity_of(const experiment& about);

} // namespace clementinegap
