#pragma once

namespace clementinegap {

/// Event that makes a decision core run its due timers.
struct tick {};

} // namespace clementinegap
