#include "process/test_certificates.h"

#include <openssl/bio.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <fstream>

namespace clementinegap {
namespace {

constexpr long validity_seconds = 3600;
constexpr long clock_slack_seconds = 3600;

template <class Write> void write_pem(const std::filesystem::path& path, Write write)
{
    const std::unique_ptr<BIO, decltype(&BIO_free)> memory(BIO_new(BIO_s_mem()), &BIO_free);
    write(memory.get());
    char* data = nullptr;
    const auto size = BIO_get_mem_data(memory.get(), &data);
    auto fresh = path;
    fresh += ".new";
    std::ofstream(fresh, std::ios::binary).write(data, size);
    std::filesystem::rename(fresh, path);
}

void add_extension(X509* certificate, int kind, const char* value)
{
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

} // namespace

test_authority::test_authority()
    : key_(make_key()), certificate_(make_certificate(key_.get(), "test authority", true))
{
}

test_authority::key_ptr test_authority::make_key()
{
    return {EVP_EC_gen("P-256"), &EVP_PKEY_free};
}

test_authority::certificate_ptr
test_authority::make_certificate(EVP_PKEY* key, const std::string& common_name, bool is_authority) const
{
    static long serial = 0;
    certificate_ptr result(X509_new(), &X509_free);
    X509_set_version(result.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(result.get()), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(result.get()), -clock_slack_seconds);
    X509_gmtime_adj(X509_getm_notAfter(result.get()), validity_seconds);
    X509_set_pubkey(result.get(), key);
    auto* name = X509_get_subject_name(result.get());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(common_name.c_str()), -1, -1, 0);
    X509_set_issuer_name(result.get(), is_authority ? name : X509_get_subject_name(certificate_.get()));
    if (is_authority) {
        add_extension(result.get(), NID_basic_constraints, "critical,CA:TRUE");
    } else {
        add_extension(result.get(), NID_subject_alt_name, "IP:127.0.0.1");
    }
    X509_sign(result.get(), is_authority ? key : key_.get(), EVP_sha256());
    return result;
}

void test_authority::issue(const std::filesystem::path& folder, const std::string& name,
                           const std::string& common_name) const
{
    const auto key = make_key();
    const auto certificate = make_certificate(key.get(), common_name, false);
    write_pem(folder / "ca.pem", [&](BIO* to) { PEM_write_bio_X509(to, certificate_.get()); });
    write_pem(folder / (name + ".key"), [&](BIO* to) {
        PEM_write_bio_PrivateKey(to, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
    write_pem(folder / (name + ".pem"), [&](BIO* to) { PEM_write_bio_X509(to, certificate.get()); });
}

} // namespace clementinegap
