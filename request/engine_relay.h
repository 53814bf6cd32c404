#pragma once

#include "request/slot_queue.h"
#include "request/upstream_context.h"

#include <string>

namespace clementinegap {

/// The runs at the engine: starts them and relays their responses as far as the credit of the entries allows.
class engine_relay {
public:
    engine_relay(upstream_context& context, slot_queue& slots) : context_(context), slots_(slots) {}

    /// The attempt holds a slot.
    void start(upstream_attempt& attempt);
    void head_arrived(upstream_attempt& attempt, const engine_head& head);
    void bytes_arrived(upstream_attempt& attempt, const engine_bytes& bytes);
    void add_credit(upstream_attempt& attempt, std::uint32_t bytes);
    /// The entry disconnected, but the run continues, since it may not be repeated.
    void detach(upstream_attempt& attempt);

private:
    void keep(upstream_attempt& attempt, const std::string& bytes);

    upstream_context& context_;
    slot_queue& slots_;
};

} // namespace clementinegap
