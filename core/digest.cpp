#include "core/digest.h"

#include <array>
#include <memory>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace clementinegap {
namespace {

class sha256 {
public:
    sha256() : context_(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
    {
        EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr);
    }

    void add(std::string_view text) { EVP_DigestUpdate(context_.get(), text.data(), text.size()); }

    std::string hex()
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
        unsigned int size = 0;
        EVP_DigestFinal_ex(context_.get(), bytes.data(), &size);
        static constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(std::size_t{size} * 2);
        for (unsigned int i = 0; i < size; ++i) {
            text.push_back(digits[bytes[i] >> 4U]);
            text.push_back(digits[bytes[i] & 15U]);
        }
        return text;
    }

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context_;
};

} // namespace

std::string sha256_hex(std::initializer_list<std::string_view> parts)
{
    sha256 hash;
    for (const auto part : parts) {
        hash.add(std::to_string(part.size()));
        hash.add(":");
        hash.add(part);
    }
    return hash.hex();
}

std::string sha256_hex(std::string_view text)
{
    sha256 hash;
    hash.add(text);
    return hash.hex();
}

bool equal_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    std::uint64_t value = 0xcbf29ce484222325ULL ^ seed;
    for (const char c : text) {
        value ^= static_cast<unsigned char>(c);
        value *= 0x100000001b3ULL;
    }
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31U;
    return value;
}

} // namespace clementinegap
