#include "router/store_link.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;

/// A dead connection to the store must be detected well before a new configuration must be in force.
constexpr keepalive_limits store_silence{1, 1, 1, 1500};

} // namespace

table_reader::table_reader(event_loop& loop, endpoint store, table_follower follower, callback on_progress,
                           result_callback on_result)
    : loop_(loop), store_(std::move(store)), follower_(std::move(follower)),
      on_progress_(std::move(on_progress)), on_result_(std::move(on_result))
{
}

table_reader::~table_reader()
{
    if (connection_) {
        connection_->abandon();
    }
}

void table_reader::run(time_point now)
{
    retired_.reset();
    if (now < follower_.due()) {
        return;
    }
    if (follower_.is_calling()) {
        drop_connection();
        on_call_failed(read_result::no_answer, now, "response timed out");
        return;
    }
    if (!connection_ || !connection_->idle()) {
        drop_connection();
        connection_ = std::make_shared<http_client_connection>(loop_, [] {});
        const auto& source = relay_ ? *relay_ : store_;
        if (!connection_->connect(source.ip, source.port, store_silence)) {
            connection_.reset();
            on_call_failed(read_result::failed, now, "connect failed");
            return;
        }
    }
    if (!relay_ && store_call_failed_) {
        follower_.ask_at_once();
    }
    auto call = follower_.begin_call(now);
    if (relay_ && call.what == table_read::kind::changes) {
        call.era = follower_.era();
    }
    body_.clear();
    connection_->start(encode_table_read(call, to_string(relay_ ? *relay_ : store_)), *this);
}

void table_reader::on_era(std::uint64_t era)
{
    if (follower_.era().value_or(era) >= era) {
        return;
    }
    ask_at_once();
}

void table_reader::ask_at_once()
{
    if (follower_.ask_at_once()) {
        abort_call();
    }
}

void table_reader::on_store_answered(time_point at)
{
    if (!relay_ && follower_.is_overtaken(at)) {
        drop_connection();
        on_call_failed(read_result::failed, event_loop::now(), "the store answered other daemons meanwhile");
    }
}

void table_reader::abort_call()
{
    drop_connection();
    follower_.call_aborted();
}

void table_reader::set_store(endpoint store)
{
    store_ = std::move(store);
    abort_call();
}

void table_reader::read_from(const std::optional<endpoint>& relay)
{
    if (relay == relay_) {
        return;
    }
    relay_ = relay;
    abort_call();
}

void table_reader::on_call_failed(read_result result, time_point now, const std::string& error)
{
    if (relay_) {
        // The store itself may still respond, so it is read before the table is reported as unreachable.
        relay_.reset();
        abort_call();
        on_result_({false, true, error});
        return;
    }
    store_call_failed_ = true;
    on_result_({false, false, error});
    report(follower_.on_failure(result, now));
}

http_client_connection::head_verdict table_reader::on_response_head(const http_head& head)
{
    status_ = head.status;
    era_ = decode_store_era(head);
    follower_.on_response_begun(event_loop::now());
    return http_client_connection::head_verdict::take;
}

void table_reader::on_response_bytes(std::string_view bytes)
{
    body_.append(bytes);
    if (body_.size() > max_response_bytes) {
        body_ = {};
        drop_connection();
        on_call_failed(read_result::failed, event_loop::now(), "response exceeds 16 MiB");
    }
}

void table_reader::on_response_end(bool reusable)
{
    const auto now = event_loop::now();
    if (!reusable) {
        drop_connection();
    }
    if (status_ == status_gone) {
        report(follower_.on_failure(read_result::history_expired, now));
        return;
    }
    if (status_ != status_ok) {
        on_call_failed(read_result::failed, now, "status " + std::to_string(status_));
        return;
    }
    auto page = decode_table_page(body_);
    body_.clear();
    body_.shrink_to_fit();
    if (!page) {
        on_call_failed(read_result::failed, now, page.error().message);
        return;
    }
    auto& read = page.value();
    read.era = read.era ? read.era : era_;
    if (relay_ && read.era && follower_.era() && *read.era < *follower_.era()) {
        on_call_failed(read_result::failed, now, "rows of an earlier era");
        return;
    }
    if (!relay_) {
        store_call_failed_ = false;
    }
    on_result_({true, relay_.has_value(), ""});
    report(follower_.on_page(std::move(read), now));
}

void table_reader::on_exchange_failed(const exchange_failure& failure)
{
    drop_connection();
    on_call_failed(read_result::failed, event_loop::now(),
                   failure.not_http    ? "malformed HTTP response"
                   : failure.connected ? "connection lost"
                                       : "connect failed");
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

row_writer::row_writer(event_loop& loop, endpoint store, std::string_view table, std::string_view key,
                       const std::optional<std::string>& value)
    : loop_(loop), store_(std::move(store)), key_(key),
      request_(encode_row_write(table, key, value, to_string(store_)))
{
}

row_writer::~row_writer()
{
    if (connection_) {
        connection_->abandon();
    }
}

void row_writer::on_rows(const table_follower::progress& read)
{
    const auto* own = last_change(read.changes, key_);
    const bool is_lost = own != nullptr ? own->deleted : read.is_snapshot;
    written_ = written_ && !is_lost;
}

void row_writer::run(time_point now)
{
    retired_.reset();
    if (written_ || now < next_attempt_at_) {
        return;
    }
    if (connection_) {
        connection_->abandon();
    }
    connection_ = std::make_shared<http_client_connection>(loop_, [] {});
    next_attempt_at_ = now + call_timeout;
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
    written_ = status_ == status_ok;
    next_attempt_at_ = event_loop::now() + retry_delay;
    connection_->abandon();
    retired_ = std::move(connection_);
    connection_.reset();
}

void row_writer::on_exchange_failed(const exchange_failure&)
{
    // The write is idempotent: it can be retried whether or not the first attempt took effect.
    next_attempt_at_ = event_loop::now() + retry_delay;
}

} // namespace clementinegap
