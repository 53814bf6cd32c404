#include "router/peer_link.h"

#include <algorithm>

namespace clementinegap {

peer_link::peer_link(event_loop& loop, std::uint32_t zone, std::function<void(load_reported)> on_report,
                     std::function<void(std::string)> on_bad)
    : socket_(loop, [this](std::string_view bytes) { on_datagram(bytes); }), on_report_(std::move(on_report)),
      on_bad_(std::move(on_bad)), fanout_(zone)
{
}

void peer_link::set_peers(std::map<std::string, endpoint> peers)
{
    peers_ = std::move(peers);
    std::vector<std::string> names;
    for (const auto& [name, address] : peers_) {
        names.push_back(name);
    }
    fanout_.set_peers(names);
}

void peer_link::on_datagram(std::string_view bytes)
{
    const auto report = bytes.substr(std::min<std::size_t>(1, bytes.size()));
    auto decoded = decode_report(report);
    if (!decoded) {
        on_bad_(decoded.error().message);
        return;
    }
    const auto& origin = decoded.value().report;
    const auto heard_for = std::max<duration>(shortest_heard, origin.next_in * heard_intervals);
    fanout_.on_report(origin.daemon, origin.relay.zone, heard_for, event_loop::now());
    if (bytes.front() == static_cast<char>(journey::passed_on)) {
        for (const auto& each : fanout_.within_zone(origin.daemon)) {
            send_to(each, journey::ends, report);
        }
    }
    on_report_(std::move(decoded.value()));
}

void peer_link::send_to(const std::string& daemon, journey how, std::string_view report)
{
    const auto peer = peers_.find(daemon);
    if (peer == peers_.end()) {
        return;
    }
    std::string datagram(1, static_cast<char>(how));
    datagram.append(report);
    // A datagram that is not taken now is replaced by the next report.
    (void)socket_.send(peer->second.ip, peer->second.port, datagram);
}

void peer_link::spread(soft_item item)
{
    items_.push_back({std::move(item)});
}

duration peer_link::interval() const
{
    const auto paced = duration(seconds(1)) * static_cast<std::int64_t>(peers_.size()) /
                       static_cast<std::int64_t>(most_datagrams_per_second);
    return std::max<duration>(shortest_interval, paced);
}

void peer_link::send(const load_report& report)
{
    std::vector<soft_item> items;
    for (auto& each : items_) {
        items.push_back(each.item);
        --each.left;
    }
    std::erase_if(items_, [](const repeated& each) { return each.left <= 0; });
    const auto bytes = encode_report(report, items);
    for (const auto& each : fanout_.next(event_loop::now())) {
        send_to(each.daemon, each.forwards ? journey::passed_on : journey::ends, bytes);
    }
}

} // namespace clementinegap
