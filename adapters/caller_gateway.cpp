#include "adapters/caller_gateway.h"

#include "core/checked_json.h"
#include "core/digest.h"
#include "request/failure_response.h"
#include "request/model_list.h"

#include <algorithm>
#include <charconv>

namespace clementinegap {
namespace {

constexpr std::string_view service_prefix = "/services/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_header_value = 256;
constexpr std::size_t characters_per_token = 4;
constexpr std::size_t prefix_block_characters = 256;
constexpr std::size_t max_prefix_hashes = 16;
/// Retry-After when there is no memory for a request body.
constexpr seconds memory_retry_after{1};
constexpr std::int64_t max_deadline_ms = std::int64_t{24} * 3600 * 1000;

bool is_model_path(std::string_view path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

/// Whether the path names a service.
bool is_service_path(std::string_view path)
{
    return path.starts_with(service_prefix) && path.size() > service_prefix.size();
}

bool is_reading(std::string_view method)
{
    return method == "GET" || method == "HEAD";
}

/// Whether the path can be forwarded as it is: no dot segments, also percent-encoded, by which a caller of a
/// service would reach other paths of the upstream.
bool is_plain_path(std::string_view path)
{
    std::string decoded;
    for (std::size_t i = 0; i < path.size(); ++i) {
        const auto rest = path.substr(i);
        const bool is_dot = rest.starts_with("%2e") || rest.starts_with("%2E");
        decoded.push_back(is_dot ? '.' : path[i]);
        i += is_dot ? 2 : 0;
    }
    decoded.push_back('/');
    return decoded.find("/./") == std::string::npos && decoded.find("/../") == std::string::npos;
}

bool is_visible_ascii(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; });
}

/// The headers whose values are kept or forwarded, with what they may be when one has another value.
std::string invalid_header(const http_request& request)
{
    for (const std::string_view name : {"clementinegap-class", "idempotency-key", "content-type"}) {
        const auto value = request.header(name);
        if (value.size() > max_header_value || !is_visible_ascii(value)) {
            return std::string(name) + " takes at most " + std::to_string(max_header_value) +
                   " visible ASCII characters.";
        }
    }
    return {};
}

result_code code_of(receive_fault fault)
{
    switch (fault) {
    case receive_fault::too_large:
        return result_code::body_too_large;
    case receive_fault::no_memory:
        return result_code::overloaded;
    case receive_fault::none:
    case receive_fault::too_slow:
        break;
    }
    return result_code::sender_too_slow;
}

seconds retry_after_of(receive_fault fault)
{
    return fault == receive_fault::no_memory ? memory_retry_after : seconds(0);
}

/// The prompt as one text: the messages' contents one after another, or the plain prompt.
std::string prompt_text(const json& body)
{
    std::string text;
    if (const auto messages = body.find("messages"); messages != body.end() && messages->is_array()) {
        for (const auto& message : *messages) {
            if (message.is_object() && message.contains("content") && message["content"].is_string()) {
                text += message["content"].get_ref<const std::string&>();
                text += '\n';
            }
        }
    } else if (const auto prompt = body.find("prompt"); prompt != body.end() && prompt->is_string()) {
        text = prompt->get<std::string>();
    }
    return text;
}

std::vector<std::uint64_t> hashes_of_prefixes(std::string_view text)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t running = 0;
    for (std::size_t at = 0; at + prefix_block_characters <= text.size() && hashes.size() < max_prefix_hashes;
         at += prefix_block_characters) {
        running = hash64(text.substr(at, prefix_block_characters), running);
        hashes.push_back(running);
    }
    return hashes;
}

void read_model_body(caller_request& result)
{
    const auto body = json::parse(result.body, nullptr, false);
    const bool usable = body.is_object() && body.contains("model") && body["model"].is_string() &&
                        (body.contains("messages") || body.contains("prompt"));
    if (!usable) {
        result.malformed = true;
        return;
    }
    result.model = body["model"].get<std::string>();
    result.stream = body.contains("stream") && body["stream"].is_boolean() && body["stream"].get<bool>();
    const auto prompt = prompt_text(body);
    result.prompt_tokens = static_cast<std::uint32_t>(prompt.size() / characters_per_token);
    result.prefix_hashes = hashes_of_prefixes(prompt);
}

std::string service_of(std::string_view path)
{
    const auto rest = path.substr(service_prefix.size());
    return std::string(rest.substr(0, rest.find('/')));
}

} // namespace

caller_request parse_caller_request(http_request request)
{
    caller_request result;
    result.caller = request.exchange;
    result.method = request.method;
    result.path = request.path;
    result.content_type = request.header("content-type");
    result.class_name = request.header("clementinegap-class");
    result.idempotency_key = request.header("idempotency-key");
    result.bad_header = invalid_header(request);
    const auto authorization = request.header("authorization");
    if (authorization.starts_with(bearer_prefix)) {
        result.key_sha256 = sha256_hex(authorization.substr(bearer_prefix.size()));
    }
    if (const auto text = request.header("clementinegap-deadline-ms"); !text.empty()) {
        std::int64_t value = 0;
        const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (problem != std::errc() || end != text.data() + text.size() || value <= 0 ||
            value > max_deadline_ms) {
            result.bad_header = "Clementinegap-Deadline-Ms takes a whole number from 1 to " +
                                std::to_string(max_deadline_ms) + ".";
        } else {
            result.deadline = milliseconds(value);
        }
    }
    result.body = std::move(request.body);
    if (is_model_path(result.path)) {
        read_model_body(result);
    } else if (is_service_path(result.path)) {
        result.model = service_of(result.path);
    }
    return result;
}

outcome<void> caller_gateway::start(const http_server_options& options)
{
    http_server_events events;
    events.on_request = [this](http_request request) { on_request(std::move(request)); };
    events.on_gone = [this](exchange_id exchange) { (void)sink_(caller_disconnected{exchange}); };
    events.on_drained = [this](exchange_id exchange, std::uint32_t bytes) {
        (void)sink_(response_bytes_consumed{exchange, bytes});
    };
    auto with_answers = options;
    with_answers.answer_fault = [](receive_fault fault) {
        const auto retry_after = retry_after_of(fault);
        const auto answer = failure_response(0, {code_of(fault), ran_state::no, retry_after, ""}, "");
        return fault_answer{answer.status, answer.body, retry_after};
    };
    return server_.start(with_answers, std::move(events));
}

void caller_gateway::on_request(http_request request)
{
    const auto exchange = request.exchange;
    if (request.fault != receive_fault::none) {
        apply(failure_response(
            exchange, {code_of(request.fault), ran_state::no, retry_after_of(request.fault), ""}, ""));
        return;
    }
    const bool lists_models = request.path == models_path;
    if (!is_plain_path(request.path) || !is_visible_ascii(request.path)) {
        refuse(exchange, result_code::not_found, "");
        return;
    }
    if (!is_model_path(request.path) && !lists_models && !is_service_path(request.path)) {
        refuse(exchange, result_code::not_found, "");
        return;
    }
    const bool method_fits =
        lists_models ? is_reading(request.method) : !is_model_path(request.path) || request.method == "POST";
    if (!method_fits) {
        refuse(exchange, result_code::method_not_allowed, "");
        return;
    }
    if (!sink_(parse_caller_request(std::move(request)))) {
        refuse(exchange, result_code::table_full, "the decision ring is full");
    }
}

void caller_gateway::refuse(exchange_id exchange, result_code code, std::string detail)
{
    apply(failure_response(exchange, {code, ran_state::no, duration::zero(), std::move(detail)}, ""));
}

void caller_gateway::apply(const response_head& action)
{
    server_.begin(action.caller, action.status, action.headers);
}

void caller_gateway::apply(const response_bytes& action)
{
    server_.write(action.caller, action.bytes);
}

void caller_gateway::apply(const response_end& action)
{
    server_.end(action.caller);
}

void caller_gateway::apply(const full_response& action)
{
    server_.answer(action.caller, action.status, action.headers, action.body);
}

void caller_gateway::apply(const response_abort& action)
{
    server_.abort(action.caller);
}

} // namespace clementinegap
