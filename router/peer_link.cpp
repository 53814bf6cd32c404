#include "router/peer_link.h"

#include <algorithm>

namespace clementinegap {

peer_link::peer_link(event_loop& loop, std::uint32_t zone, std::function<void(load_reported)> on_report,
                     std::function<void(stream_message_received)> on_stream_message,
                     std::function<void(std::string)> on_malformed)
    : socket_(loop, [this](std::string_view bytes) { on_datagram(bytes); }), on_report_(std::move(on_report)),
      on_stream_message_(std::move(on_stream_message)), on_malformed_(std::move(on_malformed)), fanout_(zone)
{
}

void peer_link::set_peers(std::map<std::string, endpoint> peers)
{
    peers_ = std::move(peers);
    std::vector<std::string> names;
    for (const auto& [name, address] : peers_) {
        names.push_back(name);
    }
    admission_.set_listed({names.begin(), names.end()});
    fanout_.set_peers(names);
}

void peer_link::on_datagram(std::string_view bytes)
{
    if (bytes.starts_with(stream_message_mark)) {
        on_stream_datagram(bytes.substr(1));
        return;
    }
    const auto report = bytes.substr(std::min<std::size_t>(1, bytes.size()));
    auto decoded = decode_report(report);
    if (!decoded) {
        on_malformed_(decoded.error().message);
        return;
    }
    auto& origin = decoded.value().report;
    origin.next_in = std::min(origin.next_in, report_admission::max_interval);
    if (!admission_.admits(origin.daemon, report.size(), event_loop::now())) {
        return;
    }
    const auto liveness_timeout =
        std::max<duration>(min_liveness_timeout, origin.next_in * liveness_intervals);
    fanout_.on_report(origin.daemon, origin.relay.zone, liveness_timeout, event_loop::now());
    if (bytes.front() == static_cast<char>(forwarding::within_zone)) {
        for (const auto& each : fanout_.within_zone(origin.daemon)) {
            send_to(each, static_cast<char>(forwarding::none), report);
        }
    }
    on_report_(std::move(decoded.value()));
}

void peer_link::on_stream_datagram(std::string_view bytes)
{
    auto decoded = decode_stream_message(bytes);
    if (!decoded) {
        on_malformed_(decoded.error().message);
        return;
    }
    on_stream_message_(std::move(decoded.value()));
}

void peer_link::send_to(const std::string& daemon, char mark, std::string_view content)
{
    const auto peer = peers_.find(daemon);
    if (peer == peers_.end()) {
        return;
    }
    std::string datagram(1, mark);
    datagram.append(content);
    // A failed send is not retried: the next report replaces a report, and a question is asked once more.
    (void)socket_.send(peer->second.ip, peer->second.port, datagram);
}

void peer_link::publish(soft_state_item item)
{
    std::erase_if(pending_items_, [&](const pending_item& each) {
        return each.item.kind == item.kind && each.item.key == item.key;
    });
    pending_items_.push_back({std::move(item)});
}

duration peer_link::interval() const
{
    const auto rate_limited = duration(seconds(1)) * static_cast<std::int64_t>(peers_.size()) /
                              static_cast<std::int64_t>(max_datagrams_per_second);
    return std::max<duration>(min_interval, rate_limited);
}

std::string peer_link::encode(const load_report& report)
{
    std::vector<soft_state_item> items;
    for (const auto& each : pending_items_) {
        items.push_back(each.item);
    }
    auto bytes = encode_report(report, items);
    const bool is_too_long = bytes.size() >= max_datagram_bytes && report.usage;
    if (is_too_long && !leaves_usage_out_) {
        on_malformed_("own report exceeds a datagram and is sent without usage counts");
    }
    leaves_usage_out_ = is_too_long;
    if (!is_too_long) {
        return bytes;
    }
    auto shorter = report;
    shorter.usage.reset();
    return encode_report(shorter, items);
}

void peer_link::send(const load_report& report)
{
    const auto bytes = encode(report);
    for (auto& each : pending_items_) {
        --each.remaining_sends;
    }
    std::erase_if(pending_items_, [](const pending_item& each) { return each.remaining_sends <= 0; });
    for (const auto& each : fanout_.next(event_loop::now())) {
        const auto mode = each.forwards ? forwarding::within_zone : forwarding::none;
        send_to(each.daemon, static_cast<char>(mode), bytes);
    }
}

void peer_link::send(std::string_view daemon, const send_stream_message& message)
{
    const auto bytes = encode_stream_message(daemon, message.message);
    for (const auto& each : message.daemons) {
        send_to(each, stream_message_mark, bytes);
    }
}

} // namespace clementinegap
