#include "request/caller_answers.h"

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

header_list caller_answers::headers(const entry_request& request) const
{
    header_list result{{"Content-Type", request.content_type}, {"Clementinegap-Request-Id", request.id}};
    add_sunset(result);
    return result;
}

void caller_answers::add_sunset(header_list& headers) const
{
    if (context_.rules != nullptr && context_.rules->shutdown.ends_at) {
        headers.emplace_back("Sunset", http_date(*context_.rules->shutdown.ends_at));
    }
}

void caller_answers::give_credit(const entry_request& request, std::size_t bytes)
{
    const auto& running = *request.running;
    context_.send(running.vm, credit_message{running.attempt, static_cast<std::uint32_t>(bytes)});
}

void caller_answers::send_head(entry_request& request)
{
    request.head_sent = true;
    context_.act(answer_head{request.input.caller, request.status, headers(request)});
}

void caller_answers::deliver(entry_request& request, std::string bytes)
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
        request.undrained += request.held.size();
        context_.act(answer_bytes{request.input.caller, std::exchange(request.held, {})});
    }
    request.undrained += bytes.size();
    request.at_event_end = bytes.ends_with("\n\n") && bytes.find(stream_end_mark) == std::string::npos;
    context_.act(answer_bytes{request.input.caller, std::move(bytes)});
}

void caller_answers::drained(entry_request& request, std::uint32_t bytes)
{
    request.undrained -= std::min<std::uint64_t>(request.undrained, bytes);
    if (request.running) {
        give_credit(request, bytes);
    }
}

void caller_answers::complete(entry_request& request)
{
    if (request.caller_left) {
        return;
    }
    if (request.head_sent) {
        context_.act(answer_end{request.input.caller});
        return;
    }
    context_.act(answer_whole{request.input.caller, request.status, headers(request),
                              std::exchange(request.held, {})});
}

void caller_answers::fail(const entry_request& request, const failure_notice& notice)
{
    if (request.caller_left) {
        return;
    }
    if (!request.head_sent) {
        context_.act(failure(request.input.caller, notice, request.id));
        return;
    }
    if (is_stream(request.content_type)) {
        context_.act(answer_bytes{request.input.caller, failure_stream_event(notice, request.id)});
        context_.act(answer_end{request.input.caller});
        return;
    }
    context_.act(answer_abort{request.input.caller});
}

void caller_answers::refuse(const caller_request& input, const failure_notice& notice)
{
    const auto id = context_.new_request_id();
    context_.act(failure(input.caller, notice, id));
    context_.act(emit_record{{"request.refused_at_admission", id, input.class_name, "", "",
                              std::string(describe(notice.code).name)}});
}

answer_whole caller_answers::failure(caller_id caller, const failure_notice& notice,
                                     std::string_view id) const
{
    auto answer = failure_answer(caller, notice, id);
    add_sunset(answer.headers);
    return answer;
}

} // namespace clementinegap
