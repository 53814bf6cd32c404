#pragma once

#include "request/entry_context.h"
#include "request/failure_response.h"

#include <string>
#include <string_view>

namespace clementinegap {

/// Whether responses of this content type are relayed as they arrive.
bool is_stream(std::string_view content_type);

/// Sends responses to callers: streams as they arrive, other responses complete, failures in the form that
/// the response still allows. Credit for the upstream follows what the caller consumes.
class caller_responses {
public:
    explicit caller_responses(entry_context& context) : context_(context) {}

    /// Relays bytes of the running attempt, or buffers them until the response is complete.
    void deliver(entry_request& request, std::string bytes);
    /// The caller consumed `bytes` more bytes.
    void on_bytes_consumed(entry_request& request, std::uint32_t bytes);
    void complete(entry_request& request);
    void fail(const entry_request& request, const failure_notice& notice);
    /// Sends the failure of a request that was not admitted.
    void refuse(const caller_request& input, const failure_notice& notice);

private:
    header_list headers(const entry_request& request) const;
    full_response failure(caller_id caller, const failure_notice& notice, std::string_view id) const;
    void add_sunset(header_list& headers) const;
    void give_credit(const entry_request& request, std::size_t bytes);
    void send_head(entry_request& request);

    entry_context& context_;
};

} // namespace clementinegap
