// Maps each error kind to the answer that the caller gets.
#ifndef KUMQUATRAMP_BASE_ERROR_ANSWER_HPP
#define KUMQUATRAMP_BASE_ERROR_ANSWER_HPP

#include <base/error_kind.hpp>
#include <string_view>

namespace kumquatramp
{

/// What is known about the execution of a request that failed.
enum class run_state : std::uint8_t
{
    not_run, ///< definite: no target has run it or will run it
    unknown, ///< a target may have run it or may still run it
};

/// The answer to the caller for one error kind.
struct error_answer
{
    error_kind kind;
    std::string_view code; ///< stable and machine-readable, e.g. "overloaded"
    int http_status;
    run_state state;
    bool retry_after;      ///< whether the answer carries Retry-After
    std::string_view text; ///< for people
};

/// Returns the answer for a kind; every kind has one.
error_answer const& answer_of(error_kind kind) noexcept;

std::string_view to_string(run_state state) noexcept;

} // namespace kumquatramp

#endif
