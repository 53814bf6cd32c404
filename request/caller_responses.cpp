#include "request/caller_responses.h"

#include "request/shutdown_schedule.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::string_view stream_content_type = "text/event-stream";
/// Ends a stream of the OpenAI form; nothing follows it.
constexpr std::string_view stream_end_mark = "[DONE]";

} // namespace

bool is_stream(std::string_view content_type)
{
    return content_type.starts_with(stream_content_type);
}

header_list caller_responses::headers(const entry_request& request) const
{
    header_list result{{"Content-Type", request.content_type}, {"Clementinegap-Request-Id", request.id}};
    add_sunset(result);
    return result;
}

void caller_responses::add_sunset(header_list& headers) const
{
    if (context_.rules != nullptr && context_.rules->shutdown.ends_at) {
        headers.emplace_back("Sunset", http_date(*context_.rules->shutdown.ends_at));
    }
}

void caller_responses::give_credit(const entry_request& request, std::size_t bytes)
{
    const auto& running = *request.running;
    context_.send(running.vm, credit_message{running.attempt, static_cast<std::uint32_t>(bytes)});
}

void caller_responses::send_head(entry_request& request)
{
    request.head_sent = true;
    context_.act(response_head{request.input.caller, request.status, headers(request)});
}

void caller_responses::deliver(entry_request& request, std::string bytes)
{
    if (request.caller_left) {
        give_credit(request, bytes.size());
        return;
    }
    const bool hold = !is_stream(request.content_type) && !request.head_sent &&
                      request.held.size() + bytes.size() <= context_.settings.max_held_bytes;
    if (hold) {
        request.held += bytes;
        give_credit(request, bytes.size());
        return;
    }
    if (!request.head_sent) {
        send_head(request);
    }
    if (!request.held.empty()) {
        request.unconsumed += request.held.size();
        context_.act(response_bytes{request.input.caller, std::exchange(request.held, {})});
    }
    request.unconsumed += bytes.size();
    request.at_event_boundary = bytes.ends_with("\n\n") && bytes.find(stream_end_mark) == std::string::npos;
    context_.act(response_bytes{request.input.caller, std::move(bytes)});
}

void caller_responses::on_bytes_consumed(entry_request& request, std::uint32_t bytes)
{
    request.unconsumed -= std::min<std::uint64_t>(request.unconsumed, bytes);
    if (request.running) {
        give_credit(request, bytes);
    }
}

void caller_responses::complete(entry_request& request)
{
    if (request.caller_left) {
        return;
    }
    if (request.head_sent) {
        context_.act(response_end{request.input.caller});
        return;
    }
    context_.act(full_response{request.input.caller, request.status, headers(request),
                               std::exchange(request.held, {})});
}

void caller_responses::fail(const entry_request& request, const failure_notice& notice)
{
    if (request.caller_left) {
        return;
    }
    if (!request.head_sent) {
        context_.act(failure(request.input.caller, notice, request.id));
        return;
    }
    if (is_stream(request.content_type)) {
        context_.act(response_bytes{request.input.caller, failure_stream_event(notice, request.id)});
        context_.act(response_end{request.input.caller});
        return;
    }
    context_.act(response_abort{request.input.caller});
}

void caller_responses::refuse(const caller_request& input, const failure_notice& notice)
{
    const auto id = context_.new_request_id();
    context_.act(failure(input.caller, notice, id));
    context_.act(emit_record{{"request.refused_at_admission", id, input.class_name, "", "",
                              std::string(describe(notice.code).name)}});
}

full_response caller_responses::failure(caller_id caller, const failure_notice& notice,
                                        std::string_view id) const
{
    auto answer = failure_response(caller, notice, id);
    add_sunset(answer.headers);
    return answer;
}

} // namespace clementinegap
