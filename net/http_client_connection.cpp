#include "net/http_client_connection.h"

namespace clementinegap {

http_client_connection::http_client_connection(event_loop& loop, std::function<void()> on_idle_end)
    : tcp_(loop, *this), on_idle_end_(std::move(on_idle_end)),
      reader_(http_reader::kind::answers, {[this](http_head& head) {
                                               if (by_ == nullptr) {
                                                   return http_reader::body_rule::none;
                                               }
                                               const auto verdict = by_->on_answer_head(head);
                                               discarding_ = verdict == head_verdict::discard;
                                               keep_alive_ = keep_alive_ && head.keep_alive;
                                               return verdict == head_verdict::take_without_body
                                                          ? http_reader::body_rule::none
                                                          : http_reader::body_rule::as_framed;
                                           },
                                           [this](std::string_view bytes) {
                                               if (discarding_) {
                                                   discarded_bytes_ += bytes.size();
                                               } else if (by_ != nullptr) {
                                                   by_->on_answer_bytes(bytes);
                                               }
                                           },
                                           [] {}})
{
}

bool http_client_connection::connect(const std::string& ip, std::uint16_t port, const silence_limits& limits)
{
    if (!tcp_.connect(ip, port)) {
        return false;
    }
    tcp_.set_silence_limits(limits);
    return true;
}

void http_client_connection::start(std::string request, exchange& by)
{
    by_ = &by;
    busy_ = true;
    discarding_ = false;
    discarded_answers_ = 0;
    discarded_bytes_ = 0;
    reader_.restart();
    if (!connected_) {
        unsent_ = std::move(request);
        return;
    }
    tcp_.write(std::move(request));
}

void http_client_connection::on_connected()
{
    connected_ = true;
    if (!unsent_.empty()) {
        tcp_.write(std::move(unsent_));
        unsent_.clear();
    }
}

void http_client_connection::connect_timed_out()
{
    if (!connected_) {
        fail({false, false});
    }
}

bool http_client_connection::is_awaited()
{
    if (!ended_ && !busy_) {
        ended_ = true;
        on_idle_end_();
        return false;
    }
    return !ended_;
}

void http_client_connection::on_bytes(std::string_view bytes)
{
    if (!is_awaited()) {
        return;
    }
    while (!bytes.empty()) {
        bytes.remove_prefix(reader_.feed(bytes));
        if (by_ == nullptr || ended_) {
            return;
        }
        if (reader_.status() == http_reader::state::broken || discards_too_much()) {
            fail({true, true});
            return;
        }
        if (reader_.status() == http_reader::state::reading) {
            return;
        }
        if (!discarding_) {
            // An answer before the whole request was taken, or bytes after it, leave the connection useless.
            finish(keep_alive_ && bytes.empty() && tcp_.unwritten() == 0);
            return;
        }
        reader_.restart();
        discarding_ = false;
        ++discarded_answers_;
        keep_alive_ = false;
    }
}

bool http_client_connection::discards_too_much() const
{
    return discarded_answers_ > most_discarded_answers || discarded_bytes_ > most_discarded_bytes;
}

void http_client_connection::on_closed(close_cause cause)
{
    if (!is_awaited()) {
        return;
    }
    if (cause == close_cause::end_of_stream && reader_.begun()) {
        reader_.feed_end();
        if (reader_.status() == http_reader::state::complete && !discarding_) {
            finish(false);
            return;
        }
    }
    fail({connected_, false});
}

void http_client_connection::abandon()
{
    by_ = nullptr;
    busy_ = false;
    ended_ = true;
    tcp_.close();
}

void http_client_connection::fail(const exchange_failure& why)
{
    ended_ = true;
    busy_ = false;
    auto* by = by_;
    by_ = nullptr;
    if (by != nullptr) {
        by->on_exchange_failed(why);
    }
}

void http_client_connection::finish(bool reusable)
{
    busy_ = false;
    ended_ = !reusable;
    idle_since_ = event_loop::now();
    auto* by = by_;
    by_ = nullptr;
    by->on_answer_end(reusable);
}

} // namespace clementinegap
