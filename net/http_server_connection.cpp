#include "net/http_server_connection.h"

#include <algorithm>
#include <utility>

namespace clementinegap {
namespace {

constexpr std::string_view head_end = "\r\n\r\n";

} // namespace

http_server_connection::http_server_connection(event_loop& loop, handler& owner, server_limits limits,
                                               peer_connections::group* peers)
    : loop_(loop), tcp_(loop, *this), held_(loop.buffers()),
      connection_(loop.buffers(), byte_budget::holder::system), peers_(peers), handler_(owner),
      limits_(limits),
      reader_(http_reader::kind::requests,
              {[this](http_head& head) {
                   head_ = std::move(head);
                   return http_reader::body_rule::as_framed;
               },
               [this](std::string_view bytes) {
                   too_large_ = too_large_ || body_.size() + bytes.size() > limits_.body_bytes;
                   no_memory_ = no_memory_ || !loop_.buffers().may_hold(body_.size() + bytes.size());
                   if (!too_large_ && !no_memory_) {
                       append_to_body(bytes);
                   }
               },
               [] {}})
{
}

bool http_server_connection::accept(uv_stream_t* listening, const keepalive_limits& keepalive)
{
    const auto now = event_loop::now();
    const bool has_room = peers_ == nullptr || peers_->make_room(now);
    if (!tcp_.accept(listening) || !has_room) {
        return false;
    }
    tcp_.set_keepalive_limits(keepalive);
    due_ = now + limits_.idle_timeout;
    progress_at_ = now;
    if (peers_ != nullptr) {
        peers_->add(*this);
        connection_.resize(connection_bytes);
    }
    return true;
}

http_server_connection::~http_server_connection()
{
    loop_.forget(*this);
    if (peers_ != nullptr) {
        peers_->remove(*this);
    }
}

void http_server_connection::on_bytes(std::string_view bytes)
{
    if (state_ == state::closing || state_ == state::closed) {
        return;
    }
    if (pending_.empty() && state_ == state::awaiting_head) {
        due_ = event_loop::now() + limits_.header_timeout;
    }
    pending_.append(bytes);
    received_ += bytes.size();
    if (state_ == state::handling || is_deferred_ || awaits_reader_) {
        if (pending_.size() > read_ahead_bytes || loop_.buffers().is_exhausted()) {
            paused_ = true;
            tcp_.pause(true);
        }
    } else {
        process_pending();
    }
    count_held();
    loop_.limit_peers();
}

void http_server_connection::append_to_body(std::string_view bytes)
{
    const auto size = body_.size() + bytes.size();
    if (size > body_.capacity()) {
        // Grows by steps, but not beyond the length that the head announces.
        const auto largest = std::max<std::size_t>(head_.content_length.value_or(limits_.body_bytes), size);
        body_.reserve(std::clamp(2 * body_.capacity(), size, largest));
    }
    body_.append(bytes);
}

bool http_server_connection::is_behind() const
{
    if (tcp_.backlog() + tcp_.held_by_system() <= max_unread_bytes) {
        return false;
    }
    return tcp_.undelivered() > max_unread_bytes;
}

void http_server_connection::process_pending()
{
    const bool did_await = awaits_reader_;
    awaits_reader_ = state_ == state::awaiting_head && !pending_.empty() && is_behind();
    if (awaits_reader_) {
        due_ = event_loop::now(); // The next sweep looks again.
        return;
    }
    if (did_await) {
        due_ = event_loop::now() + limits_.header_timeout;
    }
    if (state_ != state::awaiting_head || read_head()) {
        read_body();
    }
    const bool needs_bytes = state_ == state::awaiting_head || state_ == state::reading_body;
    if (needs_bytes && !is_deferred_) {
        resume_reading();
    }
}

void http_server_connection::resume_reading()
{
    if (std::exchange(paused_, false)) {
        tcp_.pause(false);
    }
}

void http_server_connection::skip_empty_lines()
{
    // RFC 9112 asks servers to ignore empty lines before a request.
    constexpr std::string_view line_end = "\r\n";
    const auto bytes = pending_.view();
    std::size_t skipped = 0;
    while (bytes.substr(skipped).starts_with(line_end)) {
        skipped += line_end.size();
    }
    if (skipped > 0) {
        pending_.consume(skipped);
        searched_ = 0;
    }
}

bool http_server_connection::read_head()
{
    skip_empty_lines();
    is_head_request_ = pending_.view().starts_with("HEAD ");
    // Bytes that were searched when they arrived are not searched again, however small the pieces are.
    const auto end = pending_.view().find(head_end, searched_);
    const bool is_complete = end != std::string_view::npos;
    const auto size = is_complete ? end + head_end.size() : pending_.size();
    if (size > limits_.header_bytes) {
        refuse(431, "request head exceeds the size limit");
        return false;
    }
    if (!is_complete) {
        searched_ = size - std::min(size, head_end.size() - 1);
        return false;
    }
    searched_ = 0;
    const auto head_text = pending_.view().substr(0, size);
    if (const auto fault = head_fault(head_text); !fault.empty()) {
        refuse(400, fault);
        return false;
    }
    head_ = {};
    body_.clear();
    too_large_ = false;
    no_memory_ = false;
    reader_.restart();
    const auto taken = reader_.feed(head_text);
    if (reader_.status() == http_reader::state::broken) {
        refuse(400, reader_.problem());
        return false;
    }
    pending_.consume(taken);
    head_bytes_ = head_.memory_bytes();
    if (!loop_.buffers().may_hold(head_bytes_)) {
        refuse(503, "no memory for the request head at present");
        return false;
    }
    if (head_.content_length.value_or(0) > limits_.body_bytes) {
        refuse(413, "request body exceeds the size limit");
        return false;
    }
    state_ = state::reading_body;
    const bool has_large_body = head_.chunked || head_.content_length.value_or(0) > byte_budget::small_share;
    if (has_large_body && !loop_.buffers().is_exhausted()) {
        tcp_.set_receive_buffer(body_receive_buffer);
    }
    const auto* expect = head_.find("Expect");
    if (expect != nullptr && same_header(*expect, "100-continue") && pending_.empty() &&
        reader_.status() == http_reader::state::reading) {
        tcp_.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

void http_server_connection::read_body()
{
    if (state_ != state::reading_body) {
        return;
    }
    if (reader_.status() == http_reader::state::reading && !pending_.empty()) {
        pending_.consume(reader_.feed(pending_.view()));
        due_ = event_loop::now() + limits_.header_timeout;
    }
    if (reader_.status() == http_reader::state::broken) {
        refuse(400, reader_.problem());
        return;
    }
    if (too_large_) {
        refuse(413, "request body exceeds the size limit");
        return;
    }
    if (no_memory_) {
        refuse(503, "no memory for the request body at present");
        return;
    }
    if (reader_.status() == http_reader::state::reading) {
        return;
    }
    state_ = state::handling;
    due_ = never;
    progress_at_ = event_loop::now();
    head_bytes_ = 0;
    handler_.on_request(*this, std::move(head_), std::move(body_));
}

void http_server_connection::refuse(int status, std::string_view text)
{
    state_ = state::handling;
    awaits_reader_ = false;
    drop_request();
    write_response(handler_.error_response(status, text));
    end_response(true);
}

void http_server_connection::drop_request()
{
    release(body_);
    head_ = {};
    head_bytes_ = 0;
}

void http_server_connection::write_response(std::string response)
{
    const auto end = is_head_request_ ? response.find(head_end) : std::string::npos;
    if (end != std::string::npos) {
        response.resize(end + head_end.size());
    }
    write(std::move(response));
}

void http_server_connection::end_response(bool close)
{
    if (state_ != state::handling) {
        return;
    }
    if (close) {
        state_ = state::closing;
        pending_.clear();
        count_held();
        due_ = event_loop::now() + close_timeout;
        tcp_.end_writing();
        // Bytes that are left unread when the connection is closed would reset it.
        resume_reading();
        return;
    }
    state_ = state::awaiting_head;
    progress_at_ = event_loop::now();
    due_ = progress_at_ + (pending_.empty() ? limits_.idle_timeout : limits_.header_timeout);
    if (pending_.empty()) {
        resume_reading();
        return;
    }
    // A client may send thousands of requests at once.
    defer_next_request();
}

void http_server_connection::go_on()
{
    is_deferred_ = false;
    process_pending();
    count_held();
    loop_.limit_peers();
}

void http_server_connection::on_written()
{
    handler_.on_written(*this);
    if (awaits_reader_) {
        defer_next_request();
    }
}

void http_server_connection::defer_next_request()
{
    if (!std::exchange(is_deferred_, true)) {
        loop_.defer(*this);
    }
}

connection_usage::phase http_server_connection::phase() const
{
    using phase = connection_usage::phase;
    const bool has_unread = tcp_.unwritten() + tcp_.held_by_system() > 0;
    switch (state_) {
    case state::awaiting_head:
        if (pending_.empty()) {
            return has_unread ? phase::responding : phase::idle;
        }
        return awaits_reader_ ? phase::responding : phase::receiving;
    case state::reading_body:
        return phase::receiving;
    case state::handling:
        return has_unread ? phase::responding : phase::handling;
    case state::closing:
    case state::closed:
        return has_unread ? phase::responding : phase::closing;
    }
    return phase::closing;
}

connection_usage http_server_connection::usage(time_point now) const
{
    return {phase(), held_.size() + tcp_.unwritten() + tcp_.held_by_system(), now - progress_at_};
}

void http_server_connection::note_progress(time_point now)
{
    const auto moved = received_ + tcp_.acknowledged();
    if (moved - noted_ >= substantial_bytes || phase() == connection_usage::phase::handling) {
        progress_at_ = now;
    }
    noted_ = moved;
}

void http_server_connection::shed()
{
    if (phase() == connection_usage::phase::receiving) {
        refuse(503, "no memory for the request at present");
        return;
    }
    abort();
}

void http_server_connection::replace()
{
    if (phase() == connection_usage::phase::responding) {
        abort();
        return;
    }
    if (phase() == connection_usage::phase::receiving) {
        refuse(503, "no connection left for the request at present");
    }
    set_closed();
}

void http_server_connection::abort()
{
    if (state_ == state::closed) {
        return;
    }
    tcp_.reset_on_close();
    set_closed();
}

void http_server_connection::close_idle()
{
    if (idle()) {
        set_closed();
    }
}

void http_server_connection::on_due(time_point now)
{
    if (now < due_) {
        return;
    }
    due_ = never;
    switch (state_) {
    case state::awaiting_head:
        if (pending_.empty()) {
            close_or_wait(now, limits_.idle_timeout);
            return;
        }
        if (awaits_reader_) {
            defer_next_request();
            return;
        }
        refuse(408, "request not received before the timeout");
        return;
    case state::reading_body:
        refuse(408, "request not received before the timeout");
        return;
    case state::closing:
        close_or_wait(now, close_timeout);
        return;
    case state::handling:
    case state::closed:
        return;
    }
}

void http_server_connection::close_or_wait(time_point now, duration timeout)
{
    if (undelivered() > 0) {
        due_ = now + timeout;
        return;
    }
    set_closed();
}

void http_server_connection::on_closed(close_cause)
{
    set_closed();
}

void http_server_connection::set_closed()
{
    if (state_ == state::closed) {
        return;
    }
    state_ = state::closed;
    due_ = never;
    is_deferred_ = false;
    loop_.forget(*this);
    // The object stays until the next sweep.
    drop_request();
    pending_.clear();
    held_.resize(0);
    connection_.resize(0);
    if (peers_ != nullptr) {
        peers_->remove(*this);
    }
    tcp_.close();
    handler_.on_disconnected(*this);
}

} // namespace clementinegap
