#include "net/http_reader.h"

#include "net/http_syntax.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

/// Upper bound for the parser. It is above any configured limit; those are checked before bytes reach the
/// parser.
constexpr std::uint32_t max_head_bytes = 1U << 20U;
/// Limit for response heads, trailers included. Common servers send a few kB and none send more than this.
constexpr std::size_t max_response_head_bytes = std::size_t{64} * 1024;
/// Limit of header lines in a response, trailers included. Each takes several times the memory of a short
/// line.
constexpr std::size_t max_response_header_lines = 256;
/// Limit of 1xx responses before a final response; correct servers send one or two.
constexpr std::uint32_t max_informational_responses = 16;
/// Makes the parser fail when a head is complete.
constexpr int refuse_message = -1;

} // namespace

http_reader::http_reader(kind what, callbacks handlers) : callbacks_(std::move(handlers)), kind_(what)
{
    // The parser's limit is a global variable, and readers are made on several threads.
    [[maybe_unused]] static const bool is_limit_set = [] {
        http_parser_set_max_header_size(max_head_bytes);
        return true;
    }();
    restart();
}

void http_reader::restart()
{
    http_parser_init(&parser_, kind_ == kind::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    state_ = state::reading;
    started_ = false;
    last_was_value_ = true;
    informational_ = false;
    head_bytes_ = 0;
    informational_responses_ = 0;
    head_ = {};
    lines_ = {};
    fault_ = {};
}

const http_parser_settings& http_reader::parser_settings()
{
    static const http_parser_settings settings = [] {
        http_parser_settings value;
        http_parser_settings_init(&value);
        value.on_url = [](http_parser* parser, const char* at, std::size_t size) {
            self(parser).head_.target.append(at, size);
            return 0;
        };
        value.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
            auto& reader = self(parser);
            if (reader.last_was_value_) {
                reader.head_.headers.emplace_back();
                reader.last_was_value_ = false;
            }
            reader.head_.headers.back().name.append(at, size);
            return 0;
        };
        value.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
            auto& reader = self(parser);
            reader.last_was_value_ = true;
            if (!reader.head_.headers.empty()) {
                reader.head_.headers.back().value.append(at, size);
            }
            return 0;
        };
        value.on_headers_complete = [](http_parser* parser) { return self(parser).head_complete(); };
        value.on_body = [](http_parser* parser, const char* at, std::size_t size) {
            auto& reader = self(parser);
            reader.head_bytes_ = 0;
            if (!reader.informational_) {
                reader.callbacks_.on_body({at, size});
            }
            return 0;
        };
        value.on_message_complete = [](http_parser* parser) {
            auto& reader = self(parser);
            if (reader.informational_) {
                reader.informational_ = false;
                ++reader.informational_responses_;
                reader.head_ = {};
                reader.last_was_value_ = true;
                return 0;
            }
            reader.state_ = state::complete;
            // Bytes after this message belong to the next message.
            http_parser_pause(parser, 1);
            return 0;
        };
        return value;
    }();
    return settings;
}

int http_reader::head_complete()
{
    head_.keep_alive = http_should_keep_alive(&parser_) != 0;
    head_.is_http_1_0 = parser_.http_major == 1 && parser_.http_minor == 0;
    head_.chunked = (parser_.flags & F_CHUNKED) != 0;
    if ((parser_.flags & F_CONTENTLENGTH) != 0) {
        head_.content_length = parser_.content_length;
    }
    if (kind_ == kind::requests) {
        head_.method = http_method_str(static_cast<http_method>(parser_.method));
        // Protocol upgrades are not supported; the request is handled as an ordinary one.
        parser_.upgrade = 0;
    } else {
        head_.status = static_cast<int>(parser_.status_code);
        fault_ = framing_fault(head_);
        if (!fault_.empty()) {
            return refuse_message;
        }
        if (head_.status < 200) {
            informational_ = true;
            lines_.expect_head();
            return 0;
        }
    }
    const bool has_body = callbacks_.on_head(head_) == body_rule::as_framed &&
                          (kind_ == kind::requests || !is_bodiless(head_.status));
    if (has_body && head_.chunked) {
        lines_.expect_chunks();
    }
    return has_body ? 0 : 1;
}

bool http_reader::exceeds_head_limits() const
{
    return kind_ == kind::responses &&
           (head_bytes() > max_response_head_bytes || head_.headers.size() > max_response_header_lines ||
            informational_responses_ > max_informational_responses);
}

std::size_t http_reader::execute(std::string_view bytes)
{
    head_bytes_ += bytes.size();
    const std::size_t taken = http_parser_execute(&parser_, &parser_settings(), bytes.data(), bytes.size());
    const auto problem = HTTP_PARSER_ERRNO(&parser_);
    if (problem != HPE_OK && problem != HPE_PAUSED) {
        state_ = state::broken;
    }
    if (state_ == state::reading && exceeds_head_limits()) {
        state_ = state::broken;
    }
    return taken;
}

std::size_t http_reader::read_response_part(std::string_view bytes)
{
    const auto part = lines_.next(bytes);
    if (!lines_.fault().empty() || exceeds_head_limits()) {
        state_ = state::broken;
        return part.consumed;
    }
    if (part.valid.empty()) {
        return part.consumed;
    }
    const auto left = part.valid.size() - execute(part.valid);
    // Bytes that follow the message are the last ones of the input, too.
    return state_ == state::complete ? part.consumed - left : part.consumed;
}

std::size_t http_reader::feed(std::string_view bytes)
{
    if (state_ != state::reading || bytes.empty()) {
        return 0;
    }
    started_ = true;
    std::size_t taken = 0;
    if (kind_ == kind::requests) {
        taken = execute(bytes);
    }
    while (kind_ == kind::responses && state_ == state::reading && taken < bytes.size()) {
        taken += read_response_part(bytes.substr(taken));
    }
    if (state_ != state::reading) {
        lines_.release_memory();
    }
    if (state_ == state::complete) {
        callbacks_.on_complete();
    }
    return taken;
}

void http_reader::feed_end()
{
    if (state_ != state::reading || !started_) {
        return;
    }
    if (lines_.kept_bytes() > 0) {
        fault_ = "incomplete line";
        state_ = state::broken;
        return;
    }
    execute({});
    if (state_ == state::complete) {
        callbacks_.on_complete();
    }
}

std::string_view http_reader::problem() const
{
    const auto fault = fault_.empty() ? lines_.fault() : fault_;
    return fault.empty() ? http_errno_description(HTTP_PARSER_ERRNO(&parser_)) : fault;
}

std::string_view head_fault(std::string_view head)
{
    bool is_request_line = true;
    while (!head.empty()) {
        const auto end = head.find("\r\n");
        if (end == std::string_view::npos) {
            return "request head is incomplete";
        }
        const auto line = head.substr(0, end);
        head.remove_prefix(end + 2);
        if (!std::all_of(line.begin(), line.end(), is_line_byte)) {
            return "control character or bare line feed in the request head";
        }
        if (line.empty() || std::exchange(is_request_line, false)) {
            continue;
        }
        if (const auto fault = field_line_fault(line); !fault.empty()) {
            return fault;
        }
    }
    return {};
}

} // namespace clementinegap
