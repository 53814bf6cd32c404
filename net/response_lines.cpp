#include "net/response_lines.h"

#include "net/http_syntax.h"
#include "net/string_memory.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view overlong_chunk = "chunk exceeds its size";

} // namespace

void response_lines::release_memory()
{
    release(line_);
    is_line_passed_ = false;
}

response_lines::part response_lines::next(std::string_view bytes)
{
    if (is_line_passed_) {
        release_memory();
    }
    switch (section_) {
    case section::body:
        return {bytes, bytes.size()};
    case section::chunk_data:
        return next_of_chunk(bytes);
    default:
        return next_line(bytes);
    }
}

response_lines::part response_lines::next_of_chunk(std::string_view bytes)
{
    const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(chunk_left_, bytes.size()));
    chunk_left_ -= size;
    if (chunk_left_ == 0) {
        section_ = section::chunk_end;
    }
    return {bytes.substr(0, size), size};
}

response_lines::part response_lines::next_line(std::string_view bytes)
{
    const auto feed = bytes.find('\n');
    if (feed == std::string_view::npos) {
        check_incomplete(bytes);
        line_.append(bytes);
        return {{}, bytes.size()};
    }
    auto line = bytes.substr(0, feed + 1);
    if (!line_.empty()) {
        line_.append(line);
        is_line_passed_ = true;
        line = line_;
    }
    if (!line.ends_with(line_end)) {
        fault_ = "bare line feed";
        return {{}, feed + 1};
    }
    check_line(line.substr(0, line.size() - line_end.size()));
    return {fault_.empty() ? line : std::string_view{}, feed + 1};
}

void response_lines::check_incomplete(std::string_view bytes)
{
    const bool is_after_return = line_.ends_with('\r');
    const auto text = bytes.ends_with('\r') ? bytes.substr(0, bytes.size() - 1) : bytes;
    if (is_after_return || !std::all_of(text.begin(), text.end(), is_line_byte)) {
        fault_ = "control character in a line";
        return;
    }
    if (section_ == section::chunk_end && !text.empty()) {
        fault_ = overlong_chunk;
        return;
    }
    if (section_ == section::status_line && line_.size() < response_prefix.size()) {
        const auto start = line_ + std::string(bytes.substr(0, response_prefix.size()));
        const auto known = std::min(start.size(), response_prefix.size());
        if (start.substr(0, known) != response_prefix.substr(0, known)) {
            fault_ = "not an HTTP/1 response";
        }
    }
}

void response_lines::check_line(std::string_view line)
{
    switch (section_) {
    case section::status_line:
        fault_ = status_line_fault(line);
        section_ = section::fields;
        return;
    case section::fields:
        if (line.empty()) {
            section_ = section::body;
            return;
        }
        fault_ = field_line_fault(line);
        return;
    case section::chunk_size:
        check_chunk_size(line);
        return;
    case section::chunk_end:
        fault_ = line.empty() ? std::string_view{} : overlong_chunk;
        section_ = section::chunk_size;
        return;
    case section::trailers:
        fault_ = line.empty() ? std::string_view{} : field_line_fault(line);
        return;
    case section::body:
    case section::chunk_data:
        return;
    }
}

void response_lines::check_chunk_size(std::string_view line)
{
    const auto size = chunk_size(line);
    if (!size) {
        fault_ = "malformed chunk size";
        return;
    }
    chunk_left_ = *size;
    section_ = chunk_left_ == 0 ? section::trailers : section::chunk_data;
}

} // namespace clementinegap
