// References to the components that make up one run.
#ifndef KUMQUATRAMP_SCENARIOS_RUN_PARTS_HPP
#define KUMQUATRAMP_SCENARIOS_RUN_PARTS_HPP

#include <base/ids.hpp>
#include <map>
#include <memory>

namespace kumquatramp::scenarios
{

class event_queue;
class fake_network;
class fake_platform;
class fake_target;
class host_driver;
struct run_log;

/// The referenced components must outlive every user of this struct.
struct run_parts
{
    event_queue& queue;
    fake_network& network;
    fake_platform& platform;
    run_log& log;
    std::map<target_name, std::unique_ptr<fake_target>>& targets;
    std::map<host_name, std::unique_ptr<host_driver>>& hosts;
};

/// Names of endpoints that are neither hosts nor targets.
inline constexpr char const* platform_endpoint = "platform";
inline constexpr char const* callers_endpoint = "callers";

} // namespace kumquatramp::scenarios

#endif
