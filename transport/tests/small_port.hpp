// Port options with limits low enough to be exceeded in a test.
#ifndef KUMQUATRAMP_TRANSPORT_TESTS_SMALL_PORT_HPP
#define KUMQUATRAMP_TRANSPORT_TESTS_SMALL_PORT_HPP

#include <transport/port_options.hpp>

namespace kumquatramp::tests
{

inline port_options small_port_options()
{
    port_options options;
    options.workers = 2;
    options.max_queued = 2;
    options.max_body_bytes = 1000;
    options.limits = {2000, 20, 3000};
    options.receive_timeout = 200ms;
    options.idle_timeout = 200ms;
    return options;
}

} // namespace kumquatramp::tests

#endif
