#include "net/http_client_connection.h"

namespace clementinegap {

http_client_connection::http_client_connection(event_loop& loop, std::function<void()> on_idle_close)
    : loop_(loop), tcp_(loop, *this), held_(loop.buffers()), on_idle_close_(std::move(on_idle_close)),
      reader_(http_reader::kind::responses, {[this](http_head& head) {
                                                 if (exchange_ == nullptr) {
                                                     return http_reader::body_rule::none;
                                                 }
                                                 const auto verdict = exchange_->on_response_head(head);
                                                 discarding_ = verdict == head_verdict::discard;
                                                 keep_alive_ = keep_alive_ && head.keep_alive;
                                                 return verdict == head_verdict::take_without_body
                                                            ? http_reader::body_rule::none
                                                            : http_reader::body_rule::as_framed;
                                             },
                                             [this](std::string_view bytes) {
                                                 if (discarding_) {
                                                     discarded_bytes_ += bytes.size();
                                                 } else if (exchange_ != nullptr) {
                                                     exchange_->on_response_bytes(bytes);
                                                 }
                                             },
                                             [] {}})
{
}

bool http_client_connection::connect(const std::string& ip, std::uint16_t port,
                                     const keepalive_limits& limits)
{
    if (!tcp_.connect(ip, port)) {
        return false;
    }
    tcp_.set_keepalive_limits(limits);
    return true;
}

void http_client_connection::start(std::string request, exchange& owner)
{
    exchange_ = &owner;
    busy_ = true;
    discarding_ = false;
    discarded_responses_ = 0;
    discarded_bytes_ = 0;
    reader_.restart();
    if (!connected_) {
        unsent_ = std::move(request);
        (void)count_held(); // Nothing has been received yet.
        return;
    }
    tcp_.write(std::move(request));
}

void http_client_connection::on_connected()
{
    connected_ = true;
    if (!unsent_.empty()) {
        tcp_.write(std::move(unsent_));
        unsent_ = {};
        (void)count_held(); // Nothing has been received yet.
    }
}

bool http_client_connection::count_held()
{
    // Heads are counted once they are larger than usual.
    const bool is_large = reader_.head_bytes() > byte_budget::small_share;
    held_.resize(unsent_.capacity() + (is_large ? reader_.memory_bytes() : 0));
    return loop_.buffers().may_hold(reader_.head_bytes());
}

void http_client_connection::connect_timed_out()
{
    if (!connected_) {
        fail({});
    }
}

bool http_client_connection::expects_data()
{
    if (!ended_ && !busy_) {
        ended_ = true;
        on_idle_close_();
        return false;
    }
    return !ended_;
}

void http_client_connection::on_bytes(std::string_view bytes)
{
    if (!expects_data()) {
        return;
    }
    read(bytes);
    loop_.limit_peers();
}

void http_client_connection::read(std::string_view bytes)
{
    while (!bytes.empty()) {
        bytes.remove_prefix(reader_.feed(bytes));
        if (exchange_ == nullptr || ended_) {
            return;
        }
        if (reader_.status() == http_reader::state::broken || !count_held() || exceeds_discard_limits()) {
            fail({true, true, false});
            return;
        }
        if (reader_.status() == http_reader::state::reading) {
            return;
        }
        if (!discarding_) {
            // The connection is not reusable if the response ended before the whole request was sent or if
            // more bytes follow the response.
            finish(keep_alive_ && bytes.empty() && tcp_.unwritten() == 0 && !tcp_.has_write_failed());
            return;
        }
        reader_.restart();
        discarding_ = false;
        ++discarded_responses_;
        keep_alive_ = false;
    }
}

bool http_client_connection::exceeds_discard_limits() const
{
    return discarded_responses_ > max_discarded_responses || discarded_bytes_ > max_discarded_bytes;
}

void http_client_connection::on_closed(close_cause cause)
{
    if (!expects_data()) {
        return;
    }
    if (cause == close_cause::end_of_stream && reader_.started()) {
        reader_.feed_end();
        if (reader_.status() == http_reader::state::complete && !discarding_) {
            finish(false);
            return;
        }
    }
    fail({connected_, false, cause == close_cause::refused});
}

void http_client_connection::abandon()
{
    exchange_ = nullptr;
    busy_ = false;
    ended_ = true;
    held_.resize(0);
    tcp_.close();
}

void http_client_connection::fail(const exchange_failure& why)
{
    ended_ = true;
    busy_ = false;
    auto* owner = exchange_;
    exchange_ = nullptr;
    if (owner != nullptr) {
        owner->on_exchange_failed(why);
    }
}

void http_client_connection::finish(bool reusable)
{
    busy_ = false;
    ended_ = !reusable;
    idle_since_ = event_loop::now();
    held_.resize(0);
    auto* owner = exchange_;
    exchange_ = nullptr;
    owner->on_response_end(reusable);
}

} // namespace clementinegap
