// Error value returned across library boundaries.
#ifndef KUMQUATRAMP_BASE_ERROR_HPP
#define KUMQUATRAMP_BASE_ERROR_HPP

#include <base/error_kind.hpp>
#include <string>

namespace kumquatramp
{

/// The kind, for programs, and details that help a person to fix the cause.
struct error
{
    error_kind kind = error_kind::internal;
    std::string detail;
};

} // namespace kumquatramp

#endif
