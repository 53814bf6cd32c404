#pragma once

#include "core/result_code.h"
#include "request/messages.h"

#include <cstdint>
#include <optional>
#include <string>

/// \file
/// The run record of a keyed never-repeat request: the row of the table service that lets it start at most
/// once.

namespace clementinegap {

enum class run_phase : std::uint8_t {
    started, ///< Claimed; the request may be running or may have run.
    finished ///< Ended, with the response stored.
};

/// The response kept for resends.
struct stored_response {
    std::uint16_t status{0};
    std::string content_type;
    std::string body;
    bool operator==(const stored_response&) const = default;
};

struct run_record {
    std::string workspace;
    std::string key;
    std::string fingerprint; ///< A resend with another fingerprint is another request under a used key.
    attempt_id attempt;      ///< The attempt that won the claim.
    std::string upstream;    ///< The VM that runs it.
    std::uint64_t incarnation{0};
    std::uint64_t claim{0}; ///< Counts the claims of one incarnation: an attempt may claim again.
    run_phase phase{run_phase::started};
    result_code code{result_code::ok}; ///< Of the finished attempt.
    ran_state ran{ran_state::yes};     ///< Of the finished attempt.
    std::optional<stored_response> answer;
    bool operator==(const run_record&) const = default;
};

/// Whether two records come from the same claim. The attempt alone is not sufficient: a change of its earlier
/// claim may take effect after it has claimed again.
inline bool is_same_claim(const run_record& left, const run_record& right)
{
    return left.attempt == right.attempt && left.upstream == right.upstream &&
           left.incarnation == right.incarnation && left.claim == right.claim;
}

enum class store_result : std::uint8_t {
    done,        ///< Applied, or read.
    exists,      ///< The row was there before; nothing was changed.
    absent,      ///< The row to read is not there.
    unavailable, ///< Certainly not applied.
    unknown      ///< May or may not have been applied.
};

} // namespace clementinegap
