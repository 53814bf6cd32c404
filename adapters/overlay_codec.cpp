#include "adapters/overlay_codec.h"

#include "adapters/proto/overlay.pb.h"
#include "request/messages.h"

namespace clementinegap {
namespace {

void encode_item(const propagated_item& spread, wire::overlay_item& out)
{
    out.set_origin(spread.item.origin);
    out.set_incarnation(spread.item.incarnation);
    out.set_sequence(spread.item.sequence);
    out.set_kind(spread.item.kind);
    out.set_key(spread.item.key);
    out.set_value(spread.item.value);
    out.set_lifetime_us(spread.item.lifetime.count());
    out.set_urgent(spread.urgent);
    out.set_limit(spread.limit);
}

propagated_item decode_item(const wire::overlay_item& in)
{
    return {{in.origin(), in.incarnation(), in.sequence(), in.kind(), in.key(), in.value(),
             duration(in.lifetime_us())},
            in.urgent(),
            in.limit()};
}

cluster_message decode_heartbeat(const wire::overlay_heartbeat& in)
{
    return heartbeat_message{
        {in.configuration_version(), in.configuration_hash()}, in.digest(), in.is_answer()};
}

cluster_message decode_items(const wire::overlay_items& in)
{
    items_message result;
    for (const auto& item : in.items()) {
        result.items.push_back(decode_item(item));
    }
    return result;
}

} // namespace

void encode(const cluster_message& message, wire::overlay_message& out)
{
    std::visit(overloaded{[&](const heartbeat_message& value) {
                              auto& body = *out.mutable_heartbeat();
                              body.set_configuration_version(value.configuration.version);
                              body.set_configuration_hash(value.configuration.hash);
                              body.set_digest(value.digest);
                              body.set_is_answer(value.is_answer);
                          },
                          [&](const items_message& value) {
                              for (const auto& item : value.items) {
                                  encode_item(item, *out.mutable_items()->add_items());
                              }
                          },
                          [&](const buckets_message& value) {
                              for (const auto hash : value.hashes) {
                                  out.mutable_buckets()->add_hashes(hash);
                              }
                          },
                          [&](const configuration_request&) { out.mutable_configuration_request(); },
                          [&](const configuration_reply& value) {
                              out.mutable_configuration_reply()->set_text(value.text);
                          }},
               message);
}

std::optional<cluster_message> decode(const wire::overlay_message& in)
{
    switch (in.body_case()) {
    case wire::overlay_message::kHeartbeat:
        return decode_heartbeat(in.heartbeat());
    case wire::overlay_message::kItems:
        return decode_items(in.items());
    case wire::overlay_message::kBuckets:
        return buckets_message{{in.buckets().hashes().begin(), in.buckets().hashes().end()}};
    case wire::overlay_message::kConfigurationRequest:
        return configuration_request{};
    case wire::overlay_message::kConfigurationReply:
        return configuration_reply{in.configuration_reply().text()};
    case wire::overlay_message::kHello:
    case wire::overlay_message::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace clementinegap
