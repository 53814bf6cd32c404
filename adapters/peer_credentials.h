#pragma once

#include <memory>
#include <string>

namespace grpc {
class ChannelCredentials;
class ServerCredentials;
} // namespace grpc

namespace clementinegap {

/// The files of the peer protocol's keys; empty members mean plain text. The files are read again when they
/// change, so keys are replaced without a restart.
struct peer_credentials {
    std::string ca_file;
    std::string certificate_file;
    std::string key_file;

    bool plain() const { return certificate_file.empty(); }
    std::shared_ptr<grpc::ServerCredentials> for_server() const;
    std::shared_ptr<grpc::ChannelCredentials> for_client() const;
};

} // namespace clementinegap
