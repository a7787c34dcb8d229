// Message authentication codes (MACs) for messages between hosts and for tokens
// that callers hold.
#ifndef KUMQUATRAMP_SIGNING_SIGNER_HPP
#define KUMQUATRAMP_SIGNING_SIGNER_HPP

#include <string>
#include <string_view>

namespace kumquatramp
{

/// HMAC-SHA-256 with the key of the fleet. Safe to call from any thread.
///
///     signer const s{"key from the settings"};
///     auto const mac = s.sign("request-id", "text");
///     s.verify("request-id", "text", mac); // true
class signer
{
public:
    explicit signer(std::string key);

    /// Returns the MAC of the text in hex, 32 characters (128 bits). The domain
    /// prevents a MAC made for one purpose from being valid for another.
    std::string sign(std::string_view domain, std::string_view text) const;

    /// Whether `mac` is the MAC of the text. The comparison takes constant time
    /// whatever the position of a difference. False for a malformed `mac`.
    bool verify(std::string_view domain, std::string_view text,
                std::string_view mac) const;

private:
    std::string key_;
};

} // namespace kumquatramp

#endif
