// [version, [[ip, zone, incarnation, heartbeat, flags, weight], ...]]
#include "gossip_codec.hpp"
#include <msgpack.hpp>
#include <tuple>

namespace kumquatramp::host
{

namespace
{

constexpr int format_version = 1;
constexpr unsigned ready_flag = 1;
constexpr unsigned leaving_flag = 2;

using row = std::tuple<std::string, std::string, std::uint64_t, std::uint32_t,
                       unsigned, std::uint32_t>;
using table = std::tuple<int, std::vector<row>>;

} // namespace

std::string encode_states(std::span<fleet::peer_state const> states)
{
    std::vector<row> rows;
    rows.reserve(states.size());
    for (auto const& s : states)
    {
        unsigned const flags =
            (s.ready ? ready_flag : 0) | (s.leaving ? leaving_flag : 0);
        rows.emplace_back(s.ip, s.zone, s.incarnation, s.heartbeat, flags,
                          s.weight);
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, table(format_version, std::move(rows)));
    return {buffer.data(), buffer.size()};
}

result<std::vector<fleet::peer_state>> decode_states(std::string_view bytes)
{
    std::vector<fleet::peer_state> states;
    // The library reports what it cannot read by exceptions.
    try
    {
        auto const handle = msgpack::unpack(bytes.data(), bytes.size());
        auto const [version, rows] = handle.get().as<table>();
        if (version != format_version)
        {
            return failure(error_kind::malformed_request,
                           "message of another version");
        }
        for (auto const& [ip, zone, incarnation, heartbeat, flags, weight] :
             rows)
        {
            states.push_back({ip, zone, incarnation, heartbeat,
                              (flags & ready_flag) != 0,
                              (flags & leaving_flag) != 0, weight});
        }
    }
    catch (std::exception const& e)
    {
        return failure(error_kind::malformed_request, e.what());
    }
    return states;
}

} // namespace kumquatramp::host
