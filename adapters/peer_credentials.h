#pragma once

#include <memory>
#include <string>

namespace grpc {
class ChannelCredentials;
class ServerCredentials;
} // namespace grpc

namespace clementinegap {

/// The keys of the peer protocol; empty members mean plain text.
struct peer_credentials {
    std::string ca_pem;
    std::string certificate_pem;
    std::string key_pem;

    bool plain() const { return certificate_pem.empty(); }
    std::shared_ptr<grpc::ServerCredentials> for_server() const;
    std::shared_ptr<grpc::ChannelCredentials> for_client() const;
};

} // namespace clementinegap
