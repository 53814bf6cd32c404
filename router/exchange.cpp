#include "router/exchange.h"

#include "net/string_memory.h"
#include "platform/notice_headers.h"

namespace clementinegap {

exchange::exchange(gateway_interface& gateway, http_server_connection& caller, request_number number,
                   std::string id, http_head head, std::string body)
    : gateway_(gateway), held_(gateway.buffers()), caller_(&caller), number_(number), id_(std::move(id)),
      head_(std::move(head)), head_bytes_(head_.memory_bytes()), body_(std::move(body)),
      close_after_(!head_.keep_alive)
{
    count_held();
}

void exchange::count_held()
{
    held_.resize(request_bytes + head_bytes_ + body_.capacity() + buffered_body_.capacity() +
                 events_.partial_capacity());
}

bool exchange::event_is_too_long() const
{
    const auto limit = gateway_.buffers().is_exhausted() ? max_event_bytes_without_room : max_event_bytes;
    return events_.partial_bytes() > limit;
}

void exchange::send(const send_request& action)
{
    current_send_ = action;
    response_ = {};
    fault_.reset();
    discarded_bytes_ = 0;
    first_bytes_reported_ = false;
    release(buffered_body_);
    events_.drop_partial();
    count_held();
    connection_ = gateway_.pool().acquire(*action.upstream, event_loop::now());
    if (!connection_) {
        gateway_.post(send_failed{number_, send_fault::unreachable, response_started_});
        return;
    }
    auto request = encode_request({head_, action, true, body_.size(), events_.last_id()});
    request.append(body_);
    connection_->start(std::move(request), *this);
}

void exchange::stop_send()
{
    if (connection_) {
        gateway_.pool().retire(std::move(connection_));
        connection_ = nullptr;
    }
}

void exchange::recall_unsent(std::string_view upstream)
{
    if (connection_ && !connection_->connected() && current_send_.upstream->id == upstream) {
        stop_send();
        report_fault(send_fault::recalled);
    }
}

http_client_connection::head_verdict exchange::on_response_head(const http_head& head)
{
    using verdict = http_client_connection::head_verdict;
    auto notice = decode_notice(head, *current_send_.upstream);
    auto response = decode_answer(head);
    const bool is_of_another = !response.request_id.empty() && response.request_id != id_;
    notice.request = is_of_another ? 0 : number_;
    gateway_.post(std::move(notice));
    if (is_of_another) {
        return verdict::discard;
    }
    response_ = std::move(response);
    unframed_ = !head.chunked && !head.content_length && head.status != 204 && head.status != 304 &&
                head_.method != "HEAD";
    if (response_.wrong_instance) {
        fault_ = send_fault::wrong_instance;
    } else if (response_.not_executed) {
        fault_ = send_fault::not_run;
    } else if (!response_.sealed || response_.request_id.empty()) {
        fault_ = send_fault::bad_answer;
    } else if (!response_started_) {
        response_head_ = head;
    } else if (!is_success()) {
        // The upstream refused the request to resume the stream.
        fault_ = send_fault::bad_answer;
    }
    return head_.method == "HEAD" ? verdict::take_without_body : verdict::take;
}

void exchange::on_response_bytes(std::string_view bytes)
{
    if (fault_) {
        discarded_bytes_ += bytes.size();
        if (discarded_bytes_ > max_discarded_bytes) {
            abort_invalid_response();
        }
        return;
    }
    if (current_send_.is_stream && is_success()) {
        forward_events(events_.feed(bytes));
        count_held();
        if (event_is_too_long()) {
            abort_invalid_response();
        }
        return;
    }
    const auto buffered = buffered_body_.size() + bytes.size();
    if (!response_started_ && buffered <= max_buffered_bytes && gateway_.buffers().may_hold(buffered)) {
        buffered_body_.append(bytes);
        count_held();
        return;
    }
    start_response();
    report_first_bytes();
    write_body(bytes);
    count_held();
    apply_backpressure();
}

void exchange::abort_invalid_response()
{
    stop_send();
    report_fault(send_fault::bad_answer);
}

void exchange::report_first_bytes()
{
    if (first_bytes_reported_) {
        return;
    }
    first_bytes_reported_ = true;
    if (!current_send_.resumable) {
        release(body_);
        count_held();
    }
    gateway_.post(first_event_seen{number_});
}

void exchange::start_response()
{
    if (response_started_) {
        return;
    }
    response_started_ = true;
    const bool is_until_close = unframed_ || head_.is_http_1_0;
    framing_ = is_until_close ? body_framing::until_close : body_framing::chunked;
    close_after_ = close_after_ || gateway_.stopping() || is_until_close;
    if (caller_ != nullptr) {
        if (is_until_close) {
            caller_->reset_unless_ended();
        }
        auto text = encode_answer(response_head_, framing_, 0, close_after_);
        if (!buffered_body_.empty()) {
            text.append(is_until_close ? buffered_body_ : as_chunk(buffered_body_));
            release(buffered_body_);
        }
        caller_->write(std::move(text));
    }
}

void exchange::write_body(std::string_view bytes)
{
    if (caller_ != nullptr) {
        caller_->write(framing_ == body_framing::chunked ? as_chunk(bytes) : std::string(bytes));
    }
}

void exchange::forward_events(std::string events)
{
    if (events.empty()) {
        return;
    }
    if (!response_started_) {
        buffered_body_ = std::move(events);
        start_response();
    } else {
        write_body(events);
    }
    report_first_bytes();
    apply_backpressure();
}

bool exchange::caller_is_behind() const
{
    return caller_ != nullptr && caller_->backlog() > gateway_.buffers().queue_share();
}

void exchange::apply_backpressure()
{
    if (connection_ && caller_is_behind()) {
        connection_->pause(true);
    }
}

void exchange::resume_reading()
{
    if (connection_ && !caller_is_behind()) {
        connection_->pause(false);
    }
}

void exchange::on_response_end(bool reusable)
{
    // Backpressure may have paused it in the same read that brought the end of the response.
    if (connection_) {
        connection_->pause(false);
    }
    // A response without an id, a refusal for instance, cannot be told from a late duplicate of it.
    if (reusable && response_.request_id == id_) {
        gateway_.pool().release(*current_send_.upstream, std::move(connection_),
                                response_.idle_timeout.value_or(duration::zero()));
        connection_ = nullptr;
    } else {
        stop_send();
    }
    if (fault_) {
        report_fault(*fault_);
        return;
    }
    if (!is_success() && current_send_.repeatable && response_.status >= 500) {
        report_fault(send_fault::failed_answer);
        return;
    }
    const bool end_unknown = response_started_ && framing_ == body_framing::chunked && unframed_;
    if (current_send_.is_stream && is_success() && (events_.has_partial() || end_unknown)) {
        // The stream ended in the middle of an event, or a chunked stream was resumed by a response that
        // ends with its connection, so that a truncation cannot be detected.
        report_fault(send_fault::lost);
        return;
    }
    gateway_.post(request_completed{number_, !is_success()});
    deliver_response();
}

void exchange::deliver_response()
{
    if (response_started_) {
        if (caller_ != nullptr && framing_ == body_framing::chunked) {
            caller_->write(std::string(last_chunk));
        }
        finish(close_after_);
        return;
    }
    close_after_ = close_after_ || gateway_.stopping() || unframed_;
    if (caller_ != nullptr) {
        const bool without_body = head_.method == "HEAD";
        const auto length = without_body && response_head_.content_length ? *response_head_.content_length
                                                                          : buffered_body_.size();
        const auto framing = unframed_ ? body_framing::until_close : body_framing::length;
        if (unframed_) {
            caller_->reset_unless_ended();
        }
        auto text = encode_answer(response_head_, framing, length, close_after_);
        text.append(buffered_body_);
        release(buffered_body_);
        caller_->write(std::move(text));
    }
    finish(close_after_);
}

void exchange::on_exchange_failed(const exchange_failure& why)
{
    stop_send();
    if (!why.connected) {
        gateway_.post(send_failed{number_, send_fault::unreachable, response_started_, why.refused});
        return;
    }
    // What its head said does not count: not even that the request did not run.
    report_fault(why.not_http ? send_fault::bad_answer : send_fault::lost);
}

void exchange::report_fault(send_fault fault)
{
    gateway_.post(send_failed{number_, fault, response_started_});
}

void exchange::respond(const respond_to_caller& action)
{
    close_after_ = close_after_ || gateway_.stopping();
    if (caller_ != nullptr) {
        caller_->write_response(encode_own_answer(action, id_, close_after_));
    }
    finish(close_after_);
}

void exchange::pass_failure()
{
    deliver_response();
}

void exchange::abort_caller()
{
    stop_send();
    if (caller_ != nullptr) {
        auto* caller = caller_;
        caller_ = nullptr;
        caller->abort();
    }
    gateway_.exchange_finished(number_);
}

void exchange::finish(bool close)
{
    auto* caller = caller_;
    caller_ = nullptr;
    release(body_);
    release(buffered_body_);
    count_held();
    gateway_.exchange_finished(number_);
    if (caller != nullptr) {
        caller->end_response(close);
    }
}

} // namespace clementinegap
