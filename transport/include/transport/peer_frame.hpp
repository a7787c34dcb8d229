// Authenticated frames of the protocol between hosts.
#ifndef KUMQUATRAMP_TRANSPORT_PEER_FRAME_HPP
#define KUMQUATRAMP_TRANSPORT_PEER_FRAME_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <signing/signer.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

enum class frame_kind : std::uint8_t
{
    request,
    answer,
};

/// Content of an authenticated frame.
struct peer_frame
{
    std::string nonce; ///< of the request, echoed in its answer
    std::string text;
};

inline constexpr std::size_t frame_length_bytes = 4;
inline constexpr std::size_t frame_nonce_bytes = 32;
inline constexpr std::size_t frame_code_bytes = 32;
inline constexpr std::size_t frame_overhead =
    frame_nonce_bytes + frame_code_bytes;
inline constexpr std::size_t max_frame_bytes = std::size_t{2} * 1024 * 1024;

/// Serializes a frame, including its length prefix.
std::string encode_frame(signer const& key, frame_kind kind,
                         peer_frame const& frame);

/// Decodes the length prefix; std::nullopt if the length exceeds
/// max_frame_bytes or is too short for nonce and authentication code.
std::optional<std::size_t>
decode_frame_length(std::array<unsigned char, frame_length_bytes> bytes);

/// Decodes the bytes after the length prefix; std::nullopt if the
/// authentication code does not match.
std::optional<peer_frame> decode_frame(signer const& key, frame_kind kind,
                                       std::string_view content);

} // namespace kumquatramp

#endif
