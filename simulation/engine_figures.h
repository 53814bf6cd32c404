#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>

namespace clementinegap {

/// The speed and size of a model engine, as its operators' sheet gives them.
struct engine_figures {
    std::uint32_t slots{64};             ///< Requests that run at once.
    std::size_t queue{192};              ///< Requests that may wait besides.
    std::uint64_t memory_tokens{250000}; ///< Shared by running requests and cached prompt parts.
    std::uint32_t tokens_per_event{3};   ///< Of a stream.
    std::uint32_t chunk_tokens{2048};    ///< Prompt tokens that one step reads at most.
    duration step{microseconds(6000)};   ///< Time of a step, whatever it holds.
    duration step_per_stream{microseconds(33)};
    double context_us_per_1000_tokens{14}; ///< Added to a step for the memory of what runs.
    double prompt_tokens_per_ms{30};
    double copied_tokens_per_ms{0};        ///< Cached prompt tokens, from engine to engine; 0: none.
    double attention_ms_per_million{0.75}; ///< Reading, per million pairs of prompt and earlier tokens.
};

} // namespace clementinegap
