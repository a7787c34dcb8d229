// Signed text encoding of request ids.
#include <charconv>
#include <requests/request_id_codec.hpp>

namespace kumquatramp
{

namespace
{

constexpr std::string_view domain = "request-id";

void append_hex(std::string& text, std::uint64_t number)
{
    constexpr int base = 16;
    char digits[16];
    auto const end =
        std::to_chars(std::begin(digits), std::end(digits), number, base).ptr;
    text.push_back('.');
    text.append(digits, end);
}

// Removes a trailing ".<hex digits>" field from the text and parses it. Returns
// false if the field is absent or malformed.
bool take_hex_suffix(std::string_view& text, std::uint64_t& number)
{
    constexpr int base = 16;
    auto const dot = text.rfind('.');
    if (dot == std::string_view::npos || dot + 1 == text.size())
    {
        return false;
    }
    auto const* const end = text.data() + text.size();
    auto const parsed =
        std::from_chars(text.data() + dot + 1, end, number, base);
    text.remove_suffix(text.size() - dot);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

// The part of the encoded id that the signature covers.
std::string signed_part(request_id const& id)
{
    auto text = id.host.value();
    append_hex(text, id.life.value());
    append_hex(text, id.sequence);
    return text;
}

} // namespace

request_id_codec::request_id_codec(signer const& signer)
    : signer_(signer)
{
}

std::string request_id_codec::encode(request_id const& id) const
{
    auto text = signed_part(id);
    auto const mac = signer_.sign(domain, text);
    text.push_back('.');
    text += mac;
    return text;
}

result<request_id> request_id_codec::decode(std::string_view text) const
{
    auto const invalid = [](char const* why)
    { return failure(error_kind::invalid_request_id, why); };
    auto const dot = text.rfind('.');
    if (text.size() > max_request_id_bytes || dot == std::string_view::npos)
    {
        return invalid("a request id reads HOST.INCARNATION.SEQUENCE.CODE");
    }
    auto rest = text.substr(0, dot);
    if (!signer_.verify(domain, rest, text.substr(dot + 1)))
    {
        return invalid("the request id's code does not fit it");
    }
    std::uint64_t sequence = 0;
    std::uint64_t life = 0;
    bool const well_formed =
        take_hex_suffix(rest, sequence) && take_hex_suffix(rest, life);
    if (!well_formed || rest.empty())
    {
        return invalid("a request id reads HOST.INCARNATION.SEQUENCE.CODE");
    }
    return request_id{host_name{std::string(rest)}, incarnation{life},
                      sequence};
}

} // namespace kumquatramp
