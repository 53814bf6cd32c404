#include "router/store_link.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;

/// A silent connection to the store must show well before a configuration is due.
constexpr keepalive_limits store_silence{1, 1, 1, 1500};

} // namespace

table_reader::table_reader(event_loop& loop, endpoint store, table_follower follower, callback on_progress,
                           outcome_callback on_outcome)
    : loop_(loop), store_(std::move(store)), follower_(std::move(follower)),
      on_progress_(std::move(on_progress)), on_outcome_(std::move(on_outcome))
{
}

table_reader::~table_reader()
{
    if (connection_) {
        connection_->abandon();
    }
}

time_point table_reader::due() const
{
    return under_way_ ? give_up_at_ : follower_.next_at();
}

void table_reader::run(time_point now)
{
    retired_.reset();
    if (under_way_) {
        if (now < give_up_at_) {
            return;
        }
        drop_connection();
        under_way_ = false;
        call_failed(now, "no answer in time");
    }
    if (now < follower_.next_at()) {
        return;
    }
    if (!connection_ || !connection_->idle()) {
        drop_connection();
        connection_ = std::make_shared<http_client_connection>(loop_, [] {});
        const auto& source = relay_ ? *relay_ : store_;
        if (!connection_->connect(source.ip, source.port, store_silence)) {
            connection_.reset();
            call_failed(now, "no connection");
            return;
        }
    }
    auto call = follower_.next_call();
    if (!relay_ && store_in_doubt_) {
        call.wait = duration::zero();
    }
    under_way_ = true;
    give_up_at_ = now + call.wait + answer_timeout;
    body_.clear();
    connection_->start(encode_table_read(call, to_string(relay_ ? *relay_ : store_)), *this);
}

void table_reader::set_store(endpoint store)
{
    store_ = std::move(store);
    drop_connection();
    under_way_ = false;
}

void table_reader::read_from(const std::optional<endpoint>& relay)
{
    if (relay == relay_) {
        return;
    }
    relay_ = relay;
    drop_connection();
    under_way_ = false;
}

void table_reader::call_failed(time_point now, const std::string& why)
{
    if (relay_) {
        // The store itself may well answer; it is asked before the table counts as out of reach.
        relay_.reset();
        drop_connection();
        on_outcome_({false, true, why});
        return;
    }
    store_in_doubt_ = true;
    on_outcome_({false, false, why});
    report(follower_.on_failure(read_result::failed, now));
}

http_client_connection::head_verdict table_reader::on_response_head(const http_head& head)
{
    status_ = head.status;
    return http_client_connection::head_verdict::take;
}

void table_reader::on_response_bytes(std::string_view bytes)
{
    body_.append(bytes);
    if (body_.size() > largest_answer_bytes) {
        body_ = {};
        under_way_ = false;
        drop_connection();
        call_failed(event_loop::now(), "answer too long");
    }
}

void table_reader::on_response_end(bool reusable)
{
    under_way_ = false;
    const auto now = event_loop::now();
    if (!reusable) {
        drop_connection();
    }
    if (status_ == status_gone) {
        report(follower_.on_failure(read_result::history_expired, now));
        return;
    }
    if (status_ != status_ok) {
        call_failed(now, "status " + std::to_string(status_));
        return;
    }
    auto page = decode_table_page(body_);
    body_.clear();
    body_.shrink_to_fit();
    if (!page) {
        call_failed(now, page.error().message);
        return;
    }
    if (!relay_) {
        store_in_doubt_ = false;
    }
    on_outcome_({true, relay_.has_value(), ""});
    report(follower_.on_page(std::move(page.value()), now));
}

void table_reader::on_exchange_failed(const exchange_failure& failure)
{
    under_way_ = false;
    drop_connection();
    call_failed(event_loop::now(), failure.not_http    ? "no HTTP answer"
                                   : failure.connected ? "connection lost"
                                                       : "no connection");
}

void table_reader::drop_connection()
{
    if (connection_) {
        connection_->abandon();
        retired_ = std::move(connection_);
        connection_.reset();
    }
}

void table_reader::report(table_follower::progress progress)
{
    on_progress_(std::move(progress));
}

row_writer::row_writer(event_loop& loop, endpoint store, std::string table, std::string key,
                       std::string value)
    : loop_(loop), store_(std::move(store)), request_(encode_row_write(table, key, value, to_string(store_)))
{
}

row_writer::~row_writer()
{
    if (connection_) {
        connection_->abandon();
    }
}

void row_writer::run(time_point now)
{
    retired_.reset();
    if (done_ || now < next_at_) {
        return;
    }
    if (connection_) {
        connection_->abandon();
    }
    connection_ = std::make_shared<http_client_connection>(loop_, [] {});
    next_at_ = now + call_timeout;
    if (connection_->connect(store_.ip, store_.port, store_silence)) {
        connection_->start(request_, *this);
    }
}

http_client_connection::head_verdict row_writer::on_response_head(const http_head& head)
{
    status_ = head.status;
    return http_client_connection::head_verdict::take;
}

void row_writer::on_response_end(bool)
{
    done_ = status_ == status_ok;
    next_at_ = event_loop::now() + retry_pause;
    connection_->abandon();
    retired_ = std::move(connection_);
    connection_.reset();
}

void row_writer::on_exchange_failed(const exchange_failure&)
{
    // Writing the same row again is harmless, whether or not the first write took effect.
    next_at_ = event_loop::now() + retry_pause;
}

} // namespace clementinegap
