#include "router/stream_message_codec.h"

#include <nlohmann/json.hpp>

namespace clementinegap {
namespace {

using nlohmann::json;

/// To be incremented with every change of the layout; daemons reject messages of another layout version.
constexpr int layout_version = 1;

/// Kinds of messages, as their positions in `stream_message`.
constexpr std::size_t copy_kind = 0;
constexpr std::size_t question_kind = 1;
constexpr std::size_t answer_kind = 2;

json encode_origin(const stream_origin& origin)
{
    return json::array({origin.service, origin.software_version});
}

stream_origin decode_origin(const json& row)
{
    return {row.at(0).get<std::string>(), row.at(1).get<std::string>()};
}

json encode(const origin_copy& message)
{
    return json::array({message.stream, encode_origin(message.origin)});
}

json encode(const origin_question& message)
{
    return json::array({message.stream, message.service});
}

json encode(const origin_answer& message)
{
    return json::array({message.stream, message.origin ? encode_origin(*message.origin) : json(),
                        message.versions, message.are_all_versions});
}

stream_message decode_message(std::size_t kind, const json& row)
{
    const auto stream = row.at(0).get<stream_key>();
    switch (kind) {
    case copy_kind:
        return origin_copy{stream, decode_origin(row.at(1))};
    case question_kind:
        return origin_question{stream, row.at(1).get<std::string>()};
    case answer_kind: {
        const auto& origin = row.at(1);
        return origin_answer{stream, origin.is_null() ? std::nullopt : std::optional(decode_origin(origin)),
                             row.at(2).get<std::vector<std::string>>(), row.at(3).get<bool>()};
    }
    default:
        throw json::other_error::create(0, "unknown kind of stream message", nullptr);
    }
}

} // namespace

std::string encode_stream_message(std::string_view daemon, const stream_message& message)
{
    const auto content = std::visit([](const auto& each) { return encode(each); }, message);
    std::string bytes;
    json::to_msgpack(json::array({layout_version, daemon, message.index(), content}), bytes);
    return bytes;
}

outcome<stream_message_received> decode_stream_message(std::string_view bytes)
{
    try {
        const auto document = json::from_msgpack(bytes);
        if (document.at(0).get<int>() != layout_version) {
            return failure(result_code::internal, "stream message has another layout version");
        }
        return stream_message_received{document.at(1).get<std::string>(),
                                       decode_message(document.at(2).get<std::size_t>(), document.at(3))};
    } catch (const json::exception& error) {
        return failure(result_code::internal, error.what());
    }
}

} // namespace clementinegap
