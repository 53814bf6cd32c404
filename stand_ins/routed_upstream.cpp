#include "stand_ins/routed_upstream.h"

#include <algorithm>

namespace clementinegap {
namespace {

constexpr std::string_view body_text = "the upstream's own bytes";

std::string sealed(const std::string& more = {})
{
    return "X-Response-Seal: s." + std::to_string(body_text.size()) + "\r\n" + more;
}

bool holds_part(const http_head& head, const std::string& part)
{
    const auto* parts = head.find("X-Prompt-Prefix");
    if (parts == nullptr) {
        return false;
    }
    const auto at = ("," + *parts).find("," + part + ":");
    return at != std::string::npos && parts->find(',', at) != std::string::npos;
}

} // namespace

std::string routed_upstream::event_text(int event) const
{
    return "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) +
           (version_.empty() ? "" : " of " + version_) + "\n\n";
}

std::string routed_upstream::head_of(int status, const std::string& id, const std::string& more) const
{
    const auto limit = limit_.empty() ? "" : "Server-Limit: " + limit_ + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nX-Request-Id: " + id + "\r\n" + notices_ + limit +
           more + "\r\n";
}

std::string routed_upstream::whole(int status, const std::string& id, const std::string& more) const
{
    return head_of(status, id, more + "Content-Length: " + std::to_string(body_text.size()) + "\r\n") +
           std::string(body_text);
}

routed_upstream::routed_upstream(event_loop& loop)
    : loop_(loop), listener_(loop, [this](uv_stream_t* listening) {
          auto connection = std::make_unique<http_server_connection>(loop_, *this, server_limits{});
          if (connection->accept(listening, keepalive_limits{})) {
              ++connection_count_;
              connections_.push_back(std::move(connection));
          }
      })
{
}

void routed_upstream::on_request(http_server_connection& from, http_head head, std::string body)
{
    const auto id = head.find("X-Request-Id") == nullptr ? std::string() : *head.find("X-Request-Id");
    const auto* resume = head.find("Last-Event-Id");
    const int first_event = resume == nullptr ? 1 : std::stoi(*resume) + 1;
    const bool is_stream = head.find("X-Token-Counts") != nullptr;
    if (const auto copy = late_copies_.find(&from); copy != late_copies_.end()) {
        from.write(copy->second);
        late_copies_.erase(copy);
    }
    if (event_loop::now() < refuse_until_) {
        const auto left = refuse_until_ - event_loop::now();
        refusal_(id, left);
        from.write(whole(503, id,
                         "X-Not-Executed: 1\r\nRetry-After: " +
                             std::to_string(std::chrono::duration<double>(left).count()) + "\r\n"));
        from.end_response(false);
        return;
    }
    report_(id, head.target);
    if (!deadly_part_.empty() && holds_part(head, deadly_part_)) {
        crash_(id);
    }
    if (pace_ > duration::zero()) {
        if (is_stream) {
            from.write(head_of(200, id,
                               sealed("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
        }
        paced_.push_back({&from, id, is_stream ? first_event : 0, event_loop::now() + pace_});
        return;
    }
    seen_.push_back({std::move(head), std::move(body)});
    auto next = is_stream ? behaviour::stream : behaviour::answer;
    if (!script_.empty()) {
        next = script_.front();
        script_.pop_front();
    }
    switch (next) {
    case behaviour::answer:
        from.write(whole(200, id, sealed()));
        from.end_response(false);
        return;
    case behaviour::fail:
        from.write(whole(500, id, sealed()));
        from.end_response(false);
        return;
    case behaviour::refuse:
        from.write(whole(503, id, "X-Not-Executed: 1\r\n"));
        from.end_response(false);
        return;
    case behaviour::other_instance:
        from.write(whole(421, id, "X-Instance-Id: other\r\n"));
        from.end_response(false);
        return;
    case behaviour::no_length:
        from.write(head_of(200, id, sealed()) + std::string(body_text));
        from.end_response(true);
        return;
    case behaviour::no_length_reset:
        from.write(head_of(200, id, sealed()) + std::string(body_text.substr(0, 5)));
        from.abort();
        return;
    case behaviour::lose:
        from.abort();
        return;
    case behaviour::truncate:
        from.write(head_of(200, id, sealed("Content-Length: 1000\r\n")) + std::string(body_text));
        from.end_response(true);
        return;
    case behaviour::garbage:
        from.write("\x01\x02 this is no answer\r\n\r\n");
        from.end_response(true);
        return;
    case behaviour::unsealed:
        from.write(whole(200, id, ""));
        from.end_response(false);
        return;
    case behaviour::wrong_id_first:
        from.write(whole(200, "another", sealed()) + whole(200, id, sealed()));
        from.end_response(false);
        return;
    case behaviour::extra_answer:
        from.write(whole(200, id, sealed()) + whole(200, "another", sealed()));
        from.end_response(false);
        return;
    case behaviour::hang:
        hanging_.push_back(&from);
        return;
    case behaviour::late_copy:
        late_copies_[&from] = whole(200, id, sealed());
        from.write(late_copies_[&from]);
        from.end_response(false);
        return;
    case behaviour::late_refusal:
        late_copies_[&from] = whole(503, id, "X-Not-Executed: 1\r\n");
        from.write(late_copies_[&from]);
        from.end_response(false);
        return;
    case behaviour::late_anonymous_refusal:
        late_copies_[&from] = "HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        from.write(late_copies_[&from]);
        from.end_response(false);
        return;
    case behaviour::partial_head:
        from.write("HTTP/1.1 200 x\r\nX-Request-Id: " + id + "\r\nX-Response-Seal: s.0\r\nContent-Le");
        from.end_response(true);
        return;
    case behaviour::trickle:
        from.write(
            head_of(200, id, sealed("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
        trickling_.push_back(&from);
        return;
    case behaviour::ask_for_pause:
        from.write(whole(503, id, "X-Not-Executed: 1\r\nRetry-After: " + pause_ + "\r\n"));
        from.end_response(false);
        return;
    case behaviour::stream:
        stream_from(from, id, first_event, false);
        return;
    case behaviour::stream_unframed:
        stream_unframed_from(from, id, first_event, false);
        return;
    case behaviour::stream_unframed_broken:
        stream_unframed_from(from, id, first_event, true);
        return;
    case behaviour::stream_unframed_open:
        from.write(head_of(200, id, sealed("Content-Type: text/event-stream\r\nConnection: close\r\n")) +
                   event_text(first_event));
        hanging_.push_back(&from);
        return;
    case behaviour::no_length_open:
        from.write(head_of(200, id, sealed()) + std::string(long_answer_bytes, 'a'));
        hanging_.push_back(&from);
        return;
    case behaviour::long_answer:
        from.write(head_of(200, id, sealed("Content-Length: " + std::to_string(long_answer_bytes) + "\r\n")) +
                   std::string(long_answer_bytes, 'a'));
        from.end_response(false);
        return;
    case behaviour::stream_broken:
        stream_from(from, id, first_event, true);
        return;
    }
}

void routed_upstream::advance(time_point now)
{
    auto due = std::move(paced_);
    paced_.clear();
    for (auto& each : due) {
        if (now < each.due) {
            paced_.push_back(std::move(each));
            continue;
        }
        if (each.next_event == 0) {
            each.to->write(whole(200, each.id, sealed()));
            each.to->end_response(false);
            continue;
        }
        if (each.next_event > stream_events) {
            each.to->write(std::string(last_chunk));
            each.to->end_response(false);
            continue;
        }
        each.to->write(as_chunk(event_text(each.next_event++)));
        each.due = now + pace_;
        paced_.push_back(std::move(each));
    }
    for (auto* each : trickling_) {
        each->write(as_chunk("."));
    }
    connections_.remove_if([](const auto& each) { return each->closed(); });
}

void routed_upstream::stream_from(http_server_connection& to, const std::string& id, int first_event,
                                  bool broken)
{
    to.write(head_of(200, id, sealed("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
    for (int event = first_event; event <= stream_events; ++event) {
        const auto text = event_text(event);
        if (broken && event == first_event + 2) {
            to.write(as_chunk(std::string_view(text).substr(0, 9)));
            to.end_response(true);
            return;
        }
        to.write(as_chunk(text));
    }
    to.write(std::string(last_chunk));
    to.end_response(false);
}

void routed_upstream::stream_unframed_from(http_server_connection& to, const std::string& id, int first_event,
                                           bool broken)
{
    auto text = head_of(200, id, sealed("Content-Type: text/event-stream\r\nConnection: close\r\n"));
    for (int event = first_event; event <= stream_events && !(broken && event == first_event + 2); ++event) {
        text += event_text(event);
    }
    to.write(text + (broken ? event_text(first_event + 2).substr(0, 9) : ""));
    to.end_response(true);
}

std::string routed_upstream::error_response(int status, std::string_view)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

void routed_upstream::on_disconnected(http_server_connection& from)
{
    std::erase_if(paced_, [&](const paced_answer& each) { return each.to == &from; });
    late_copies_.erase(&from);
    if (std::erase(trickling_, &from) > 0) {
        ++abandoned_;
    }
    const auto waiting = std::find(hanging_.begin(), hanging_.end(), &from);
    if (waiting != hanging_.end()) {
        hanging_.erase(waiting);
        ++abandoned_;
    }
}

} // namespace clementinegap
