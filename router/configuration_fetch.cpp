#include "router/configuration_fetch.h"

namespace clementinegap {

configuration_fetch::~configuration_fetch()
{
    if (connection_) {
        connection_->abandon();
    }
}

void configuration_fetch::start(const endpoint& peer)
{
    const auto now = event_loop::now();
    if (requested_at_ && now - *requested_at_ < response_timeout) {
        return;
    }
    requested_at_.reset();
    if (connection_) {
        connection_->abandon();
    }
    connection_ = std::make_shared<http_client_connection>(loop_, [] {});
    text_.clear();
    if (!connection_->connect(peer.ip, peer.port, keepalive_limits{})) {
        return;
    }
    requested_at_ = now;
    connection_->start("GET " + std::string(path) + " HTTP/1.1\r\nHost: " + peer.ip +
                           "\r\nConnection: close\r\n\r\n",
                       *this);
}

http_client_connection::head_verdict configuration_fetch::on_response_head(const http_head& head)
{
    status_ = head.status;
    return http_client_connection::head_verdict::take;
}

void configuration_fetch::on_response_bytes(std::string_view bytes)
{
    text_.append(bytes);
    if (text_.size() > max_text_bytes) {
        text_ = {};
        requested_at_.reset();
        connection_->abandon();
    }
}

void configuration_fetch::on_response_end(bool)
{
    constexpr int status_ok = 200;
    requested_at_.reset();
    if (status_ == status_ok) {
        on_text_(std::move(text_));
    }
    text_.clear();
}

} // namespace clementinegap
