// Parsing of HTTP request targets: path and query parameters.
#ifndef KUMQUATRAMP_EVENTLOOP_REQUEST_TARGET_HPP
#define KUMQUATRAMP_EVENTLOOP_REQUEST_TARGET_HPP

#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp::eventloop
{

/// A non-owning view of a request target "/path?name=value&name=value".
///
///     request_target const target(message.target);
///     if (target.path() == "/hosts") zone = target.parameter("zone");
class request_target
{
public:
    /// `text` must outlive this object.
    explicit request_target(std::string_view text);

    /// The path as received (not percent-decoded), without the query.
    std::string_view path() const { return path_; }

    /// Returns the percent-decoded value of the first parameter with this
    /// name, or std::nullopt if there is none or an escape is malformed.
    std::optional<std::string> parameter(std::string_view name) const;

private:
    std::string_view path_;
    std::string_view query_;
};

/// Decodes percent escapes ("%41") and "+" as a space. Returns std::nullopt if
/// an escape is malformed.
std::optional<std::string> decode_percent(std::string_view text);

} // namespace kumquatramp::eventloop

#endif
