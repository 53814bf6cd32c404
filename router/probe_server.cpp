#include "router/probe_server.h"

#include "platform/message_translation.h"

namespace clementinegap {
namespace {

/// Probes and scrapes have no body and few headers.
constexpr server_limits probe_limits{.header_bytes = std::size_t{8} * 1024, .body_bytes = 1024};

} // namespace

probe_server::probe_server(event_loop& loop, responder respond)
    : loop_(loop), respond_(std::move(respond)), peers_(loop.peers()),
      listener_(loop, [this](uv_stream_t* listening) {
          auto connection = std::make_unique<http_server_connection>(loop_, *this, probe_limits, &peers_);
          if (connection->accept(listening, keepalive_limits{})) {
              connections_.push_back(std::move(connection));
          }
      })
{
}

void probe_server::on_request(http_server_connection& from, http_head head, std::string)
{
    const auto response = respond_(std::string_view(head.target).substr(0, head.target.find('?')));
    const bool close = !head.keep_alive;
    from.write_response(encode_text_answer(response.status, response.content_type, response.body, close));
    from.end_response(close);
}

std::string probe_server::error_response(int status, std::string_view text)
{
    return encode_text_answer(status, "text/plain", text, true);
}

void probe_server::sweep(time_point now)
{
    for (auto& each : connections_) {
        each->on_due(now);
    }
    connections_.remove_if([](const auto& each) { return each->closed(); });
}

} // namespace clementinegap
