// Layout of an encoded message:
// [version, kind, sequence, subject, digest,
//  [[ip, zone, incarnation, version, health, flags, weight], ...],
//  [range digest, ...]]
// Fields that are missing at the end keep their defaults and further ones are
// ignored, so that hosts of two versions understand each other.
#include "gossip_codec.hpp"
#include <msgpack.hpp>
#include <tuple>

namespace kumquatramp::host
{

namespace
{

constexpr unsigned format_version = 1;
/// Nesting of a message: itself, its lists and their entries, and what later
/// versions may add.
constexpr std::size_t max_depth = 8;
constexpr unsigned ready_flag = 1;
constexpr unsigned leaving_flag = 2;
constexpr unsigned busy_flag = 4;

using packed_state =
    std::tuple<std::string, std::string, std::uint64_t, std::uint32_t, unsigned,
               unsigned, std::uint32_t>;
using packed_message =
    std::tuple<unsigned, unsigned, std::uint32_t, std::string, std::uint64_t,
               std::vector<packed_state>, std::vector<std::uint64_t>>;

packed_state pack_state(fleet::peer_state const& s)
{
    unsigned const flags = (s.ready ? ready_flag : 0) |
                           (s.leaving ? leaving_flag : 0) |
                           (s.busy ? busy_flag : 0);
    return {s.ip,
            s.zone,
            s.incarnation,
            s.version,
            static_cast<unsigned>(s.health),
            flags,
            s.weight};
}

/// Lengths that the bytes of a message can hold, since an element takes a byte
/// at least. msgpack allocates what a message declares before it reads it.
msgpack::unpack_limit limits_for(std::string_view bytes)
{
    std::size_t const size = bytes.size();
    return {size, size / 2, size, size, size, max_depth};
}

} // namespace

std::string encode_message(fleet::fleet_message const& message)
{
    std::vector<packed_state> packed_states;
    packed_states.reserve(message.states.size());
    for (auto const& s : message.states)
    {
        packed_states.push_back(pack_state(s));
    }
    msgpack::sbuffer buffer;
    msgpack::pack(
        buffer,
        packed_message(format_version, static_cast<unsigned>(message.kind),
                       message.sequence, message.subject, message.digest,
                       std::move(packed_states), message.range_digests));
    return {buffer.data(), buffer.size()};
}

result<fleet::fleet_message> decode_message(std::string_view bytes)
{
    fleet::fleet_message message;
    // msgpack reports malformed input by exceptions.
    try
    {
        auto const handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr,
                                            nullptr, limits_for(bytes));
        auto [version, kind, sequence, subject, digest, packed_states,
              range_digests] = handle.get().as<packed_message>();
        if (version != format_version ||
            kind > static_cast<unsigned>(fleet::message_kind::push))
        {
            return failure(error_kind::malformed_request,
                           "unsupported format version or message kind");
        }
        message.kind = static_cast<fleet::message_kind>(kind);
        message.sequence = sequence;
        message.subject = std::move(subject);
        message.digest = digest;
        message.range_digests = std::move(range_digests);
        for (auto const& [ip, zone, incarnation, state_version, health, flags,
                          weight] : packed_states)
        {
            if (health > static_cast<unsigned>(fleet::peer_health::dead))
            {
                return failure(error_kind::malformed_request,
                               "unknown peer health value");
            }
            message.states.push_back({ip, zone, incarnation, state_version,
                                      static_cast<fleet::peer_health>(health),
                                      (flags & ready_flag) != 0,
                                      (flags & leaving_flag) != 0,
                                      (flags & busy_flag) != 0, weight});
        }
    }
    catch (std::exception const& e)
    {
        return failure(error_kind::malformed_request, e.what());
    }
    return message;
}

} // namespace kumquatramp::host
