// HMAC-SHA-256 with OpenSSL, truncated to 128 bits.
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <signing/signer.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr std::size_t mac_bytes = 16;

std::string to_hex(unsigned char const* bytes, std::size_t size)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i)
    {
        text.push_back(digits[bytes[i] >> 4U]);
        text.push_back(digits[bytes[i] & 0xfU]);
    }
    return text;
}

} // namespace

signer::signer(std::string key)
    : key_(std::move(key))
{
}

std::string signer::sign(std::string_view domain, std::string_view text) const
{
    std::string message(domain);
    message.push_back('\0');
    message.append(text);
    unsigned char mac[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
         reinterpret_cast<unsigned char const*>(message.data()), message.size(),
         mac, &size);
    return to_hex(mac, mac_bytes);
}

bool signer::verify(std::string_view domain, std::string_view text,
                    std::string_view mac) const
{
    auto const expected = sign(domain, text);
    return mac.size() == expected.size() &&
           CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) == 0;
}

} // namespace kumquatramp
