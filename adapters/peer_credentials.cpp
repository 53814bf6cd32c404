#include "adapters/peer_credentials.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace clementinegap {
namespace {

using grpc::experimental::FileWatcherCertificateProvider;

constexpr unsigned refresh_seconds = 1;

std::shared_ptr<FileWatcherCertificateProvider> watch(const peer_credentials& files)
{
    return std::make_shared<FileWatcherCertificateProvider>(files.key_file, files.certificate_file,
                                                            files.ca_file, refresh_seconds);
}

} // namespace

std::shared_ptr<grpc::ServerCredentials> peer_credentials::for_server() const
{
    if (plain()) {
        return grpc::InsecureServerCredentials();
    }
    grpc::experimental::TlsServerCredentialsOptions options(watch(*this));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return grpc::experimental::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> peer_credentials::for_client() const
{
    if (plain()) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::experimental::TlsChannelCredentialsOptions options;
    options.set_certificate_provider(watch(*this));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    return grpc::experimental::TlsCredentials(options);
}

} // namespace clementinegap
