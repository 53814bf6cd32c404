#pragma once

#include "core/checked_json.h"
#include "core/outcome.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The description of a load experiment on real processes, read from its file.

namespace clementinegap {

/// The processes that the runner script starts for the experiment.
struct deployment_shape {
    int zones{4};
    int entries{4};
    int upstreams{12};
    int slots{4};
    duration token_interval{milliseconds(10)};
};

/// The load of one request class.
struct class_demand {
    std::string name;
    std::string path;
    std::string model;
    bool streamed{true};
    double requests_per_second{1};
    double median_tokens{20};
    double sigma{0.5}; ///< Of the log-normal output length; larger means a heavier tail.
    std::uint32_t max_tokens{2000};
    duration target{seconds(1)}; ///< Until the first token, from the planned arrival.
};

/// A workspace's bearer key and its part of every class's load.
struct workspace_demand {
    std::string key;
    double share{1};
};

/// Multiplies the load of a class or workspace, or of all with empty names, for a while.
struct demand_swing {
    duration from{0};
    duration to{0};
    double factor{1};
    std::string class_name;
    std::string key;

    bool covers(duration at) const { return at >= from && at < to; }
};

/// A body sent to a stand-in's control address at a time of the run.
struct planned_fault {
    duration at{0};
    int engine{0}; ///< From 1; 0 is the platform.
    std::string body;
};

/// A daemon that the runner script drains and starts anew at a time of the run.
struct planned_replacement {
    duration at{0};
    std::string vm;
};

struct load_experiment {
    std::string name;
    std::uint64_t seed{1};
    duration run{seconds(20)};
    duration settle{seconds(10)}; ///< How long answers are awaited after the last arrival.
    deployment_shape deployment;
    std::vector<class_demand> classes;
    std::vector<workspace_demand> workspaces;
    std::vector<demand_swing> swings;
    std::vector<planned_fault> faults;
    std::vector<planned_replacement> replacements;
    std::string poison;                ///< Content of a prompt that crashes engines; empty for none.
    std::vector<duration> poison_sent; ///< When it is sent.

    /// Whether a swing raises the load of everything or of a part at this time.
    bool is_crest(duration at) const;
};

/// Reads and checks a whole experiment text; every fault at once, one a line.
outcome<load_experiment> load_experiment_from_text(std::string_view text);

} // namespace clementinegap
