#include "router/row_relay.h"

#include "platform/message_translation.h"
#include "platform/store_messages.h"
#include "router/configuration_fetch.h"

#include <iterator>
#include <utility>

namespace clementinegap {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;

} // namespace

row_relay::row_relay(event_loop& loop, configuration_source configuration)
    : loop_(loop), configuration_(std::move(configuration)), listener_(loop, [this](uv_stream_t* listening) {
          auto connection = std::make_unique<http_server_connection>(loop_, *this, server_limits{});
          if (connection->accept(listening, keepalive_limits{})) {
              connections_.push_back(std::move(connection));
          }
      })
{
}

void row_relay::apply(std::string_view table, const table_follower::progress& read)
{
    if (read.version == 0) {
        return;
    }
    copies_[std::string(table)].apply(read);
    if (read.changes.empty() && !read.is_snapshot) {
        return;
    }
    answer_waiting([&](const waiting_call& each) { return each.call.table == table; }, false);
}

void row_relay::answer_waiting(const std::function<bool(const waiting_call&)>& concerned, bool waited)
{
    std::list<waiting_call> chosen;
    for (auto each = waiting_.begin(); each != waiting_.end();) {
        const auto next = std::next(each);
        if (concerned(*each)) {
            chosen.splice(chosen.end(), waiting_, each);
        }
        each = next;
    }
    for (const auto& each : chosen) {
        // An answer may show that another of the connections is gone.
        if (!each.from->closed() && !try_answer(*each.from, each.call, each.keep_alive, waited)) {
            waiting_.push_back(each);
        }
    }
}

void row_relay::serve(bool serves)
{
    if (std::exchange(serves_, serves) && !serves) {
        answer_waiting([](const waiting_call&) { return true; }, true);
    }
}

void row_relay::on_request(http_server_connection& from, http_head head, std::string)
{
    const std::string_view target = head.target;
    if (target.substr(0, target.find('?')) == configuration_fetch::path) {
        const auto& text = configuration_();
        answer(from, text.empty() ? status_not_found : status_ok, text, head.keep_alive);
        return;
    }
    const auto call = decode_table_read(target);
    if (!call) {
        answer(from, status_not_found, "", head.keep_alive);
        return;
    }
    if (try_answer(from, *call, head.keep_alive, call->wait == duration::zero())) {
        return;
    }
    if (waiting_.size() >= most_waiting) {
        answer(from, status_unavailable, "", head.keep_alive);
        return;
    }
    waiting_.push_back({&from, *call, event_loop::now() + call->wait, head.keep_alive});
}

bool row_relay::try_answer(http_server_connection& from, const table_read& call, bool keep_alive, bool waited)
{
    const auto copy = copies_.find(call.table);
    if (!serves_ || copy == copies_.end() || !copy->second.is_complete()) {
        answer(from, status_unavailable, "", keep_alive);
        return true;
    }
    if (call.what == table_read::kind::listing) {
        answer(from, status_ok, encode_table_page(copy->second.listing()), keep_alive);
        return true;
    }
    const auto page = copy->second.changes_after(call.after_version);
    if (!page) {
        answer(from, status_gone, "", keep_alive);
        return true;
    }
    if (page->rows.empty() && !waited) {
        return false;
    }
    answer(from, status_ok, encode_table_page(*page), keep_alive);
    return true;
}

void row_relay::answer(http_server_connection& from, int status, std::string_view body, bool keep_alive)
{
    from.write(encode_text_answer(status, "application/json", body, !keep_alive));
    from.end_response(!keep_alive);
}

std::string row_relay::error_response(int status, std::string_view text)
{
    return encode_text_answer(status, "text/plain", text, true);
}

void row_relay::on_disconnected(http_server_connection& from)
{
    std::erase_if(waiting_, [&](const waiting_call& each) { return each.from == &from; });
}

void row_relay::sweep(time_point now)
{
    answer_waiting([&](const waiting_call& each) { return each.until <= now; }, true);
    for (auto& each : connections_) {
        each->on_due(now);
    }
    connections_.remove_if([](const auto& each) { return each->closed(); });
}

} // namespace clementinegap
