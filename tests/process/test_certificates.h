#pragma once

#include <filesystem>
#include <memory>
#include <string>

#include <openssl/evp.h>
#include <openssl/x509.h>

namespace clementinegap {

/// A certificate authority in memory that writes keys and certificates of the peer protocol to files.
class test_authority {
public:
    test_authority();

    /// Writes ca.pem, NAME.pem and NAME.key, by rename, as an operator replaces keys.
    void issue(const std::filesystem::path& folder, const std::string& name,
               const std::string& common_name) const;

private:
    using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
    using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;

    static key_ptr make_key();
    certificate_ptr make_certificate(EVP_PKEY* key, const std::string& common_name, bool is_authority) const;

    key_ptr key_;
    certificate_ptr certificate_;
};

} // namespace clementinegap
