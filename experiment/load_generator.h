#pragma once

#include "adapters/http_client.h"
#include "experiment/load_result.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace clementinegap {

/// One request of a load run.
struct planned_call {
    duration at{0}; ///< From the start of the run.
    http_call call;
    bool streamed{false};
};

/// Something to send at a time of the run whose answer does not matter, such as a fault of a stand-in.
struct planned_control {
    duration at{0};
    http_call call;
};

struct load_options {
    unsigned int threads{2};    ///< HTTP clients, one thread each.
    duration grace{seconds(5)}; ///< How long answers are awaited after the last arrival.
    std::function<void(duration passed, std::size_t sent, std::size_t answered)> on_progress;
};

/// Sends the calls open-loop: each at its time, however many are still unanswered. `calls` and `controls` are
/// in the order of their times. The results are in the order of `calls`.
std::vector<load_result> run_load(std::span<const planned_call> calls,
                                  std::span<const planned_control> controls, const load_options& options);

} // namespace clementinegap
