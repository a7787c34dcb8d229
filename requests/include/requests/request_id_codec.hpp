// Text encoding of request ids, as exchanged with callers.
#ifndef KUMQUATRAMP_REQUESTS_REQUEST_ID_CODEC_HPP
#define KUMQUATRAMP_REQUESTS_REQUEST_ID_CODEC_HPP

#include <base/result.hpp>
#include <requests/request_id.hpp>
#include <signing/signer.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// Encodes and decodes signed request ids, so that callers cannot forge them.
/// Thread-safe.
class request_id_codec
{
public:
    explicit request_id_codec(signer const& signer);

    /// Returns "host.incarnation.sequence.mac", at most max_request_id_bytes
    /// long. Incarnation and sequence are hexadecimal.
    std::string encode(request_id const& id) const;

    /// Verifies and parses an id. Fails with invalid_request_id if the text
    /// is malformed or its signature does not match.
    result<request_id> decode(std::string_view text) const;

private:
    signer signer_;
};

inline constexpr std::size_t max_request_id_bytes = 256;

} // namespace kumquatramp

#endif
