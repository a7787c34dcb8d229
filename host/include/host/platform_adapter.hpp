// Interface to what is specific to a platform: names, formats and calls.
#ifndef KUMQUATRAMP_HOST_PLATFORM_ADAPTER_HPP
#define KUMQUATRAMP_HOST_PLATFORM_ADAPTER_HPP

#include <asio/io_context.hpp>
#include <functional>
#include <host/store_change.hpp>
#include <host/wire_profile.hpp>
#include <memory>
#include <optional>
#include <registry/store_item.hpp>
#include <registry/store_port.hpp>
#include <span>
#include <string>
#include <string_view>

namespace kumquatramp::host
{

/// Called at the end of each call to the store; `cause` describes the failure.
struct store_callbacks
{
    /// Called before the other two if the answer states the store's era.
    std::function<void(std::uint64_t era)> era;
    std::function<void(registry::store_answer const&)> answered;
    std::function<void(registry::store_failure, char const* cause)> failed;
};

/// Translates between the platform's formats and the host's types and makes
/// calls; holds no policy.
class platform_adapter
{
public:
    platform_adapter() = default;
    platform_adapter(platform_adapter const&) = delete;
    platform_adapter& operator=(platform_adapter const&) = delete;
    virtual ~platform_adapter() = default;

    /// The platform's header names.
    virtual wire_profile const& wire() const = 0;

    /// Returns a client of the store at `address` (IP:port).
    virtual std::unique_ptr<registry::store_port>
    connect_store(asio::io_context& loop, std::string const& address,
                  store_callbacks callbacks) = 0;

    /// Translates one item of the store.
    virtual store_change decode(registry::store_item const& item) const = 0;

    /// The zone of the client if the request is for the directory of hosts;
    /// nothing if it is another request.
    virtual std::optional<std::string>
    parse_directory_request(std::string_view method,
                            std::string_view target) const = 0;

    /// The body of a directory answer that is valid for `lifetime_s` seconds.
    virtual std::string
    format_directory_response(std::span<std::string const> addresses,
                              int lifetime_s) const = 0;

    virtual bool is_readiness_request(std::string_view method,
                                      std::string_view target) const = 0;
};

} // namespace kumquatramp::host

#endif
