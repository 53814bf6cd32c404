#include "router/exchange.h"

#include "platform/notice_headers.h"

namespace clementinegap {

exchange::exchange(owner& by, http_server_connection& caller, request_number number, std::string id,
                   http_head head, std::string body)
    : by_(by), caller_(&caller), number_(number), id_(std::move(id)), head_(std::move(head)),
      body_(std::move(body)), close_after_(!head_.keep_alive)
{
}

void exchange::send(const send_request& order)
{
    order_ = order;
    answer_ = {};
    fault_.reset();
    ignored_bytes_ = 0;
    first_event_ = false;
    held_.clear();
    events_.drop_rest();
    connection_ = by_.pool().take(*order.upstream, event_loop::now());
    if (!connection_) {
        by_.post(send_failed{number_, send_fault::unreachable, begun_});
        return;
    }
    auto request = encode_request({head_, order, true, body_.size(), events_.last_id()});
    request.append(body_);
    connection_->start(std::move(request), *this);
}

void exchange::stop_send()
{
    if (connection_) {
        by_.pool().retire(std::move(connection_));
        connection_ = nullptr;
    }
}

void exchange::recall_unsent(std::string_view upstream)
{
    if (connection_ && !connection_->connected() && order_.upstream->id == upstream) {
        stop_send();
        report_fault(send_fault::recalled);
    }
}

http_client_connection::head_verdict exchange::on_response_head(const http_head& head)
{
    using verdict = http_client_connection::head_verdict;
    if (auto notice = decode_notice(head, *order_.upstream); notice.has_content()) {
        by_.post(std::move(notice));
    }
    auto answer = decode_answer(head);
    if (!answer.request_id.empty() && answer.request_id != id_) {
        return verdict::discard;
    }
    answer_ = std::move(answer);
    unframed_ = !head.chunked && !head.content_length && head.status != 204 && head.status != 304 &&
                head_.method != "HEAD";
    if (answer_.wrong_instance) {
        fault_ = send_fault::wrong_instance;
    } else if (answer_.not_executed) {
        fault_ = send_fault::not_run;
    } else if (!answer_.sealed || answer_.request_id.empty()) {
        fault_ = send_fault::bad_answer;
    } else if (!begun_) {
        answer_head_ = head;
    } else if (!is_success()) {
        // The rest of a stream was asked for and refused.
        fault_ = send_fault::bad_answer;
    }
    return head_.method == "HEAD" ? verdict::take_without_body : verdict::take;
}

void exchange::on_response_bytes(std::string_view bytes)
{
    if (fault_) {
        ignored_bytes_ += bytes.size();
        if (ignored_bytes_ > most_ignored_bytes) {
            end_useless_answer();
        }
        return;
    }
    if (order_.is_stream && is_success()) {
        pass_events(events_.feed(bytes));
        if (events_.rest_bytes() > largest_event_bytes) {
            fault_ = send_fault::bad_answer;
            end_useless_answer();
        }
        return;
    }
    if (!begun_ && held_.size() + bytes.size() <= most_held_bytes) {
        held_.append(bytes);
        return;
    }
    begin_streaming();
    note_first_bytes();
    write_part(bytes);
    hold_back();
}

void exchange::end_useless_answer()
{
    stop_send();
    report_fault(*fault_);
}

void exchange::note_first_bytes()
{
    if (first_event_) {
        return;
    }
    first_event_ = true;
    if (!order_.resumable) {
        body_.clear();
        body_.shrink_to_fit();
    }
    by_.post(first_event_seen{number_});
}

void exchange::begin_streaming()
{
    if (begun_) {
        return;
    }
    begun_ = true;
    framing_ = unframed_ ? body_framing::until_close : body_framing::chunked;
    close_after_ = close_after_ || by_.stopping() || unframed_;
    if (caller_ != nullptr) {
        auto text = encode_answer(answer_head_, framing_, 0, close_after_);
        if (!held_.empty()) {
            text.append(unframed_ ? held_ : as_chunk(held_));
            held_.clear();
        }
        caller_->write(std::move(text));
    }
}

void exchange::write_part(std::string_view bytes)
{
    if (caller_ != nullptr) {
        caller_->write(framing_ == body_framing::chunked ? as_chunk(bytes) : std::string(bytes));
    }
}

void exchange::pass_events(std::string events)
{
    if (events.empty()) {
        return;
    }
    if (!begun_) {
        held_ = std::move(events);
        begin_streaming();
    } else {
        write_part(events);
    }
    note_first_bytes();
    hold_back();
}

void exchange::hold_back()
{
    if (caller_ != nullptr && connection_ && caller_->unwritten() > most_unwritten_bytes) {
        connection_->pause(true);
    }
}

void exchange::caller_drained()
{
    if (connection_) {
        connection_->pause(false);
    }
}

void exchange::on_response_end(bool reusable)
{
    if (reusable) {
        by_.pool().give_back(*order_.upstream, std::move(connection_),
                             answer_.idle_timeout.value_or(duration::zero()));
        connection_ = nullptr;
    } else {
        stop_send();
    }
    if (fault_) {
        report_fault(*fault_);
        return;
    }
    if (!is_success() && order_.repeatable && answer_.status >= 500) {
        report_fault(send_fault::failed_answer);
        return;
    }
    const bool cannot_end = begun_ && framing_ == body_framing::chunked && unframed_;
    if (order_.is_stream && is_success() && (events_.has_rest() || cannot_end)) {
        // The stream ended in the middle of an event, or it was resumed and nobody can tell whether it is
        // whole.
        report_fault(send_fault::lost);
        return;
    }
    by_.post(request_completed{number_, !is_success()});
    pass_held();
}

void exchange::pass_held()
{
    if (begun_) {
        if (caller_ != nullptr && framing_ == body_framing::chunked) {
            caller_->write(std::string(last_chunk));
        }
        end_caller(close_after_);
        return;
    }
    close_after_ = close_after_ || by_.stopping() || unframed_;
    if (caller_ != nullptr) {
        const bool bodiless = head_.method == "HEAD";
        const auto length =
            bodiless && answer_head_.content_length ? *answer_head_.content_length : held_.size();
        const auto framing = unframed_ ? body_framing::until_close : body_framing::length;
        auto text = encode_answer(answer_head_, framing, length, close_after_);
        text.append(held_);
        caller_->write(std::move(text));
    }
    end_caller(close_after_);
}

void exchange::on_exchange_failed(const exchange_failure& why)
{
    stop_send();
    if (fault_ && *fault_ != send_fault::bad_answer) {
        report_fault(*fault_);
        return;
    }
    if (!why.connected) {
        report_fault(send_fault::unreachable);
        return;
    }
    report_fault(why.not_http ? send_fault::bad_answer : send_fault::lost);
}

void exchange::report_fault(send_fault fault)
{
    by_.post(send_failed{number_, fault, begun_});
}

void exchange::answer(const respond_to_caller& order)
{
    close_after_ = close_after_ || by_.stopping();
    if (caller_ != nullptr) {
        caller_->write(encode_own_answer(order, id_, close_after_));
    }
    end_caller(close_after_);
}

void exchange::pass_failure()
{
    pass_held();
}

void exchange::cut()
{
    stop_send();
    if (caller_ != nullptr) {
        auto* caller = caller_;
        caller_ = nullptr;
        caller->abort();
    }
    by_.exchange_ended(number_);
}

void exchange::end_caller(bool close)
{
    auto* caller = caller_;
    caller_ = nullptr;
    by_.exchange_ended(number_);
    if (caller != nullptr) {
        caller->end_response(close);
    }
}

} // namespace clementinegap
