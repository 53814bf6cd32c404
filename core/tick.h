#pragma once

namespace clementinegap {

/// Time passed; due timers of a decision core run.
struct tick {};

} // namespace clementinegap
