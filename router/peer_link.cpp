#include "router/peer_link.h"

#include <algorithm>

namespace clementinegap {

peer_link::peer_link(event_loop& loop, std::function<void(load_reported)> on_report,
                     std::function<void(std::string)> on_bad)
    : socket_(loop, [on_report = std::move(on_report), on_bad = std::move(on_bad)](std::string_view bytes) {
          auto decoded = decode_report(bytes);
          if (!decoded) {
              on_bad(decoded.error().message);
              return;
          }
          on_report(std::move(decoded.value()));
      })
{
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
    for (const auto& [name, address] : peers_) {
        // A datagram that is not taken now is replaced by the next report.
        (void)socket_.send(address.ip, address.port, bytes);
    }
}

} // namespace clementinegap
