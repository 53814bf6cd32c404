#pragma once

#include "core/result_code.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The typed messages between an entry daemon and an upstream daemon; adapters/peer_codec maps them to
/// protobuf.

namespace clementinegap {

/// Identifies one attempt to run a request: the incarnation of the entry daemon and an increasing number.
struct attempt_id {
    std::uint64_t entry{0};
    std::uint64_t number{0};
    std::strong_ordering operator<=>(const attempt_id&) const = default;
};

/// Asks for a slot; the body follows only after a grant.
struct reserve_message {
    attempt_id attempt;
    std::string request_id;
    std::string workspace;
    double workspace_weight{1};
    std::string class_name;
    std::string model;
    std::uint8_t tier{0};
    bool never_repeat{false};
    std::string key;         ///< The idempotency key; empty without one.
    std::string fingerprint; ///< SHA-256 of workspace, path and body.
    std::uint32_t prompt_tokens{0};
    std::uint32_t quantum_tokens{0};
    duration time_left{0};                    ///< Until the deadline; a span, since clocks of two VMs differ.
    duration target_left{0};                  ///< Until the first-token target is missed.
    duration starvation_bound{0};             ///< The class's bound on going unserved.
    std::vector<std::uint64_t> prefix_hashes; ///< Hashes of growing prefixes of the prompt, shortest first.
    bool operator==(const reserve_message&) const = default;
};

/// Sends the request to the upstream daemon that granted a slot. From here on only that daemon's
/// messages show what happened.
struct dispatch_message {
    attempt_id attempt;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::uint32_t resume_from_token{
        0}; ///< Tokens of the response that the caller has; the engine continues after them.
    bool operator==(const dispatch_message&) const = default;
};

/// Withdraws a reservation, or ends a running attempt whose result is no longer needed.
struct cancel_message {
    attempt_id attempt;
    bool operator==(const cancel_message&) const = default;
};

/// Allows the upstream daemon to send this many more bytes of a response.
struct credit_message {
    attempt_id attempt;
    std::uint32_t bytes{0};
    bool operator==(const credit_message&) const = default;
};

using entry_message = std::variant<reserve_message, dispatch_message, cancel_message, credit_message>;

/// The first message of an upstream daemon on a session.
struct hello_message {
    std::string vm;
    std::string zone;
    std::string region;
    std::uint64_t incarnation{0};
    std::vector<std::string> models; ///< Models, or names of services.
    std::uint32_t slots{0};
    bool leaving{false};
    bool operator==(const hello_message&) const = default;
};

struct granted_message {
    attempt_id attempt;
    bool operator==(const granted_message&) const = default;
};

/// The retry time sent with a refusal when no better estimate is available.
inline constexpr duration default_retry_after = seconds(1);

/// The attempt was never started and never will be.
struct refused_message {
    attempt_id attempt;
    result_code code{result_code::overloaded};
    duration retry_after{0};
    bool operator==(const refused_message&) const = default;
};

/// The first byte went to the upstream.
struct started_message {
    attempt_id attempt;
    bool operator==(const started_message&) const = default;
};

struct head_message {
    attempt_id attempt;
    std::uint16_t status{200};
    std::string content_type;
    bool operator==(const head_message&) const = default;
};

struct chunk_message {
    attempt_id attempt;
    std::uint64_t offset{0}; ///< Bytes of the response before this chunk.
    std::string bytes;
    std::uint32_t tokens{0}; ///< Tokens of the response up to the end of this chunk.
    bool operator==(const chunk_message&) const = default;
};

/// The end of an attempt that was dispatched.
struct finished_message {
    attempt_id attempt;
    result_code code{result_code::ok}; ///< `ok`: the response is complete.
    ran_state ran{ran_state::yes};
    bool operator==(const finished_message&) const = default;
};

/// Soft state of an upstream daemon, sent when it changes.
struct load_message {
    std::uint32_t free_slots{0};
    std::uint32_t queued{0};
    duration expected_wait{0};
    std::uint8_t yields_tier{0}; ///< The lowest tier running that yields to any tier above it; 0: none does.
    bool slowed{false};
    bool leaving{false};
    bool operator==(const load_message&) const = default;
};

using upstream_message = std::variant<hello_message, granted_message, refused_message, started_message,
                                      head_message, chunk_message, finished_message, load_message>;

/// Makes a visitor out of lambdas.
template <class... Ts> struct overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts> overloaded(Ts...) -> overloaded<Ts...>;

} // namespace clementinegap
