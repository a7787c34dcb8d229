// Frame layout: length, nonce, authentication code, text.
#include <transport/peer_frame.hpp>

namespace kumquatramp
{

namespace
{

std::string_view domain_of(frame_kind kind)
{
    return kind == frame_kind::request ? "peer-request" : "peer-answer";
}

std::string code_of(signer const& key, frame_kind kind, std::string_view nonce,
                    std::string_view text)
{
    std::string message(nonce);
    message.append(text);
    return key.sign(domain_of(kind), message);
}

} // namespace

std::string encode_frame(signer const& key, frame_kind kind,
                         peer_frame const& frame)
{
    auto const size = frame_overhead + frame.text.size();
    std::string bytes;
    bytes.reserve(frame_length_bytes + size);
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        bytes.push_back(
            static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU));
    }
    bytes += frame.nonce;
    bytes += code_of(key, kind, frame.nonce, frame.text);
    bytes += frame.text;
    return bytes;
}

std::optional<std::size_t>
decode_frame_length(std::array<unsigned char, frame_length_bytes> bytes)
{
    std::size_t length = 0;
    for (auto const byte : bytes)
    {
        length = (length << 8U) | byte;
    }
    bool const valid = length >= frame_overhead && length <= max_frame_bytes;
    return valid ? std::optional(length) : std::nullopt;
}

std::optional<peer_frame> decode_frame(signer const& key, frame_kind kind,
                                       std::string_view content)
{
    if (content.size() < frame_overhead)
    {
        return std::nullopt;
    }
    auto const nonce = content.substr(0, frame_nonce_bytes);
    auto const code = content.substr(frame_nonce_bytes, frame_code_bytes);
    auto const text = content.substr(frame_overhead);
    std::string message(nonce);
    message.append(text);
    if (!key.verify(domain_of(kind), message, code))
    {
        return std::nullopt;
    }
    return peer_frame{std::string(nonce), std::string(text)};
}

} // namespace kumquatramp
