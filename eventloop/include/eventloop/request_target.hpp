// The target of a request: its path and the parameters of its query.
#ifndef KUMQUATRAMP_EVENTLOOP_REQUEST_TARGET_HPP
#define KUMQUATRAMP_EVENTLOOP_REQUEST_TARGET_HPP

#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp::eventloop
{

/// A view of "/path?name=value&name=value".
///
///     request_target const target(message.target);
///     if (target.path() == "/hosts") zone = target.parameter("zone");
class request_target
{
public:
    /// The text must outlive the view.
    explicit request_target(std::string_view text);

    /// As received, without the query.
    std::string_view path() const { return path_; }

    /// The first parameter of this name, percent-decoded; nothing if there
    /// is none or its escapes are malformed.
    std::optional<std::string> parameter(std::string_view name) const;

private:
    std::string_view path_;
    std::string_view query_;
};

/// Resolves "%41" and "+"; nothing if an escape is malformed.
std::optional<std::string> decode_percent(std::string_view text);

} // namespace kumquatramp::eventloop

#endif
