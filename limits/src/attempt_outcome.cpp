// String forms of attempt outcomes, for logs and metrics.
#include <limits/attempt_outcome.hpp>

namespace kumquatramp
{

std::string_view to_string(attempt_outcome outcome) noexcept
{
    switch (outcome)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::draining:
        return "draining";
    case attempt_outcome::wrong_snapshot:
        return "wrong snapshot";
    case attempt_outcome::not_sent:
        return "not sent";
    case attempt_outcome::connect_failed:
        return "connect failed";
    case attempt_outcome::broken:
        return "broken";
    case attempt_outcome::timed_out:
        return "timed out";
    case attempt_outcome::cancelled:
        return "cancelled";
    case attempt_outcome::failed:
        return "failed";
    case attempt_outcome::malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace kumquatramp
