#pragma once

#include "core/time.h"

#include <cstdint>

namespace clementinegap {

/// What became of one request of a load run; times count from the start of the run.
struct load_result {
    duration planned{0};
    duration sent{0};
    duration first_token{-1}; ///< Negative: no byte of an answer came.
    duration ended{-1};       ///< Negative: unanswered when the run was closed.
    std::uint16_t status{0};
    std::uint16_t code{0};   ///< The numbered code of a failure; 0 with none.
    std::uint32_t tokens{0}; ///< Data events of a stream; 1 for a whole answer.
    bool complete{false};    ///< A success whose answer came whole, with the end mark when streamed.
    bool said_not_run{false};

    /// From the planned arrival, so that a late sender does not flatter the figures.
    duration first_token_time() const { return first_token - planned; }
};

} // namespace clementinegap
