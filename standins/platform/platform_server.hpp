// The HTTP server of the platform stand-in.
#ifndef KUMQUATRAMP_STANDINS_PLATFORM_PLATFORM_SERVER_HPP
#define KUMQUATRAMP_STANDINS_PLATFORM_PLATFORM_SERVER_HPP

#include <atomic>
#include <httplib.h>
#include <standins/platform/call_counter.hpp>
#include <standins/platform/value_history.hpp>
#include <string>

namespace kumquatramp::standins
{

/// Serves reads and watches of values, and the control endpoints, on one port.
class platform_server
{
public:
    platform_server();

    /// Loads the values rules, catalogue and members from the files of these
    /// names in `directory`; false if none of the three can be opened.
    bool load(std::string const& directory);

    httplib::Server& http() noexcept { return http_; }

    /// Ends all waiting watches, so that the server can stop.
    void close() { values_.close(); }

private:
    void read(httplib::Request const& request, httplib::Response& response);
    void put(httplib::Request const& request, httplib::Response& response);
    void set_mode(httplib::Request const& request, httplib::Response& response);
    void counts(httplib::Response& response) const;

    value_history values_;
    call_counter counter_;
    std::atomic<bool> absent_ = false;
    std::atomic<int> slow_ms_ = 0;
    httplib::Server http_;
};

} // namespace kumquatramp::standins

#endif
