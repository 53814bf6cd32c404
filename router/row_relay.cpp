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
/// Reads of daemons have no body and few headers.
constexpr server_limits read_limits{.header_bytes = std::size_t{8} * 1024, .body_bytes = 1024};

} // namespace

row_relay::row_relay(event_loop& loop, configuration_source configuration)
    : loop_(loop), configuration_(std::move(configuration)), peers_(loop.peers()),
      listener_(loop, [this](uv_stream_t* listening) {
          auto connection = std::make_unique<http_server_connection>(loop_, *this, read_limits, &peers_);
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
    auto& copy = copies_[std::string(table)];
    const bool is_other_era = copy.era() != read.era;
    copy.apply(read);
    if (is_other_era) {
        respond_to_pending([&](const pending_read& each) { return each.call.table == table; }, true);
        return;
    }
    if (read.changes.empty() && !read.is_snapshot) {
        return;
    }
    respond_to_pending([&](const pending_read& each) { return each.call.table == table; }, false);
}

void row_relay::respond_to_pending(const std::function<bool(const pending_read&)>& matches, bool wait_over)
{
    std::list<pending_read> selected;
    for (auto each = pending_reads_.begin(); each != pending_reads_.end();) {
        const auto next = std::next(each);
        if (matches(*each)) {
            selected.splice(selected.end(), pending_reads_, each);
        }
        each = next;
    }
    for (const auto& each : selected) {
        // Writing a response may reveal that another of the connections is closed.
        if (!each.from->closed() && !try_respond(*each.from, each.call, each.keep_alive, wait_over)) {
            pending_reads_.push_back(each);
        }
    }
}

void row_relay::set_serving(bool serving)
{
    if (std::exchange(serving_, serving) && !serving) {
        respond_to_pending([](const pending_read&) { return true; }, true);
    }
}

void row_relay::on_request(http_server_connection& from, http_head head, std::string)
{
    const std::string_view target = head.target;
    if (target.substr(0, target.find('?')) == configuration_fetch::path) {
        const auto& text = configuration_();
        respond(from, text.empty() ? status_not_found : status_ok, text, head.keep_alive);
        return;
    }
    const auto call = decode_table_read(target);
    if (!call) {
        respond(from, status_not_found, "", head.keep_alive);
        return;
    }
    if (try_respond(from, *call, head.keep_alive, call->wait == duration::zero())) {
        return;
    }
    if (pending_reads_.size() >= max_pending_reads) {
        respond(from, status_unavailable, "", head.keep_alive);
        return;
    }
    pending_reads_.push_back({&from, *call, event_loop::now() + call->wait, head.keep_alive});
}

bool row_relay::try_respond(http_server_connection& from, const table_read& call, bool keep_alive,
                            bool wait_over)
{
    const auto copy = copies_.find(call.table);
    if (!serving_ || copy == copies_.end() || !copy->second.is_complete()) {
        respond(from, status_unavailable, "", keep_alive);
        return true;
    }
    if (call.what == table_read::kind::listing) {
        respond(from, status_ok, encode_table_page(copy->second.listing()), keep_alive);
        return true;
    }
    const bool is_other_era = call.era && copy->second.era() && call.era != copy->second.era();
    const auto page = is_other_era ? std::nullopt : copy->second.changes_after(call.after_version);
    if (!page) {
        respond(from, status_gone, "", keep_alive);
        return true;
    }
    if (page->rows.empty() && !wait_over) {
        return false;
    }
    respond(from, status_ok, encode_table_page(*page), keep_alive);
    return true;
}

void row_relay::respond(http_server_connection& from, int status, std::string_view body, bool keep_alive)
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
    std::erase_if(pending_reads_, [&](const pending_read& each) { return each.from == &from; });
}

void row_relay::sweep(time_point now)
{
    respond_to_pending([&](const pending_read& each) { return each.deadline <= now; }, true);
    for (auto& each : connections_) {
        each->on_due(now);
    }
    connections_.remove_if([](const auto& each) { return each->closed(); });
}

} // namespace clementinegap
