// Return type of public functions, which report errors as values instead of
// exceptions.
#ifndef KUMQUATRAMP_BASE_RESULT_HPP
#define KUMQUATRAMP_BASE_RESULT_HPP

#include <base/error.hpp>
#include <boost/outcome.hpp>

namespace kumquatramp
{

/// A T or an error. The behaviour of value() on an error is undefined.
///
///     result<int> parse(std::string_view);
///     auto r = parse("x");
///     if (!r) log(r.error().detail);
template <class T>
using result = boost::outcome_v2::unchecked<T, error>;

/// Makes an error to return from a function whose return type is a result.
inline auto failure(error_kind kind, std::string detail)
{
    return boost::outcome_v2::failure(error{kind, std::move(detail)});
}

} // namespace kumquatramp

#endif
