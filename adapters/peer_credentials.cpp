#include "adapters/peer_credentials.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

namespace clementinegap {

std::shared_ptr<grpc::ServerCredentials> peer_credentials::for_server() const
{
    if (plain()) {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions options(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = ca_pem;
    options.pem_key_cert_pairs.push_back({key_pem, certificate_pem});
    return grpc::SslServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> peer_credentials::for_client() const
{
    if (plain()) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = ca_pem;
    options.pem_private_key = key_pem;
    options.pem_cert_chain = certificate_pem;
    return grpc::SslCredentials(options);
}

} // namespace clementinegap
