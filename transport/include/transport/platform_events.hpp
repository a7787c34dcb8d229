// Handler of the results of platform reads.
#ifndef KUMQUATRAMP_TRANSPORT_PLATFORM_EVENTS_HPP
#define KUMQUATRAMP_TRANSPORT_PLATFORM_EVENTS_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <config/config_key.hpp>
#include <optional>
#include <string_view>

namespace kumquatramp
{

/// Called on the client's threads with no client locks held.
class platform_events
{
public:
    platform_events() = default;
    platform_events(platform_events const&) = delete;
    platform_events& operator=(platform_events const&) = delete;
    virtual ~platform_events() = default;

    /// The platform's current version is `version`; `text` is set if the
    /// response contained the value. `asked` is when the read was started.
    virtual void on_platform_value(config_key key, config_version version,
                                   std::optional<std::string_view> text,
                                   time_point asked) = 0;

    virtual void on_platform_failed(config_key key) = 0;
};

} // namespace kumquatramp

#endif
