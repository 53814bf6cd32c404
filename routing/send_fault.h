#pragma once

#include <cstdint>
#include <string_view>

namespace clementinegap {

/// How a send ended without an answer that can be passed on.
enum class send_fault : std::uint8_t {
    unreachable,    ///< No connection; nothing of the request was sent.
    not_run,        ///< The upstream says that it did not and will not run it.
    wrong_instance, ///< Another process has the address; it did not run it.
    lost,           ///< The connection ended before the answer was complete.
    failed_answer,  ///< A complete failure answer of the upstream, held back so far.
    bad_answer,     ///< Bytes that are no answer to this request.
    recalled,       ///< Taken back before a connection was made; nothing of the request was sent.
};

/// Whether the request certainly did not run and will not.
bool certainly_not_run(send_fault fault);

std::string_view to_string(send_fault fault);

} // namespace clementinegap
